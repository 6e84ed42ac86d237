// Package region maps zones to regions and represents the regions in which data may be stored and processed.
package region
