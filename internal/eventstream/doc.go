// Package eventstream splits a stream of server-sent events (text/event-stream) into whole events.
package eventstream
