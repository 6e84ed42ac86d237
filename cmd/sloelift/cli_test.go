package main

import (
	"io"
	"testing"
)

// brokenReader panics like a broken invariant when it is read.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { panic("broken invariant") }

// TestPanicIsNotAnExitRequest guards that a panic is not mistaken for an exit request with code 0.
func TestPanicIsNotAnExitRequest(t *testing.T) {
	defer func() {
		if failure := recover(); failure != "broken invariant" {
			t.Errorf("the panic became %v", failure)
		}
	}()
	code := run([]string{"validate", "-"}, brokenReader{}, io.Discard, io.Discard)
	t.Errorf("the program ended with code %d", code)
}

func TestHelpExitsWithZero(t *testing.T) {
	if code := run([]string{"--help"}, nil, io.Discard, io.Discard); code != 0 {
		t.Errorf("code %d, want 0", code)
	}
}
