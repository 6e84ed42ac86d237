// Package session runs one online request: it picks a replica, streams the answer, and
// after a failure retries or resumes on another replica, so that the caller gets the
// whole answer once and in order. A non-repeatable request runs at most once.
package session
