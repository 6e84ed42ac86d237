// Package tenant holds the tenants of one version of the configuration and finds the one that holds an API key.
//
// A Directory is immutable and keeps digests of the keys only, so that no dump or log of it shows a key.
package tenant
