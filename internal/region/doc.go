// Package region says which regions there are, which zones lie in them, and where data may be kept and processed.
package region
