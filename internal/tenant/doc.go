// Package tenant holds the tenants of one configuration version and looks them up by API key.
//
// A Directory is immutable and stores only digests of the keys, so that no dump or log of it reveals a key.
package tenant
