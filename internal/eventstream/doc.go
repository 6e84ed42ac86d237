// Package eventstream splits a stream of events (text/event-stream) at the ends of events.
package eventstream
