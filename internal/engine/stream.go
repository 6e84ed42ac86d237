package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
)

var (
	prefixID   = []byte("id:")
	prefixData = []byte("data:")
	dataDone   = []byte("[DONE]")
)

var errLineTooLong = errors.New("line of the stream is too long")

// eventStream reads one generation's server-sent events. It checks that offsets increase and that
// every chunk belongs to the same answer.
type eventStream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	cancel context.CancelFunc
	// progress is called with nextOffset after each chunk.
	progress func(next int)
	// nextOffset is the offset after the last chunk.
	nextOffset int
	// requestID is part of the id of every chunk of this answer.
	requestID string
	finished  bool
}

func newEventStream(body io.ReadCloser, cancel context.CancelFunc, progress func(next int), requestID string, offset int) *eventStream {
	return &eventStream{
		body:       body,
		reader:     bufio.NewReaderSize(body, streamBufferBytes),
		cancel:     cancel,
		progress:   progress,
		requestID:  requestID,
		nextOffset: offset,
	}
}

// wireChunk holds the fields of an OpenAI chunk that are used.
type wireChunk struct {
	ID string `json:"id"`
	// Choices holds the only choice; an array avoids the allocation of a slice.
	Choices [1]wireChoice `json:"choices"`
	Usage   *wireUsage    `json:"usage"`
	Error   *wireError    `json:"error"`
}

type wireChoice struct {
	Text  string `json:"text"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

type wireUsage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type wireError struct {
	Message string `json:"message"`
}

// Next implements Stream.
func (s *eventStream) Next() (Chunk, error) {
	for {
		offset, data, err := s.readEvent()
		if err != nil {
			return Chunk{}, KindLost.Wrap(err, "stream ended at token %d", s.nextOffset)
		}
		if bytes.Equal(data, dataDone) {
			if !s.finished {
				return Chunk{}, KindLost.New("stream was closed without a finish reason at token %d", s.nextOffset)
			}
			return Chunk{}, io.EOF
		}
		chunk, hasContent, err := s.decode(offset, data)
		if err != nil || hasContent {
			return chunk, err
		}
	}
}

// decode returns the chunk of an event; present is false for an event without content.
func (s *eventStream) decode(offset int, data []byte) (chunk Chunk, hasContent bool, err error) {
	var wire wireChunk
	if err := json.Unmarshal(data, &wire); err != nil {
		return Chunk{}, false, KindLost.Wrap(err, "chunk behind token %d", s.nextOffset)
	}
	if wire.Error != nil {
		return Chunk{}, false, KindLost.New("engine failed at token %d: %s", s.nextOffset, wire.Error.Message)
	}
	if err := s.checkAnswerID(wire.ID); err != nil {
		return Chunk{}, false, err
	}
	choice := &wire.Choices[0]
	chunk = Chunk{
		Offset: s.nextOffset, Text: choice.Text + choice.Delta.Content, FinishReason: choice.FinishReason, Usage: wire.Usage.toUsage(),
	}
	if offset < 0 {
		offset = s.nextOffset
	}
	if offset < s.nextOffset || (offset == s.nextOffset && chunk.Text != "" && chunk.FinishReason == "") || s.finished && chunk.Text != "" {
		return Chunk{}, false, KindLost.New("chunk up to token %d came behind token %d", offset, s.nextOffset)
	}
	chunk.Tokens = offset - s.nextOffset
	s.nextOffset = offset
	s.progress(s.nextOffset)
	if chunk.FinishReason != "" {
		s.finished = true
	}
	return chunk, chunk.Tokens > 0 || chunk.Text != "" || chunk.FinishReason != "" || chunk.Usage != nil, nil
}

// checkAnswerID returns an error for a chunk that belongs to another request's answer.
func (s *eventStream) checkAnswerID(id string) error {
	if id != "" && !strings.Contains(id, s.requestID) {
		return KindLost.New("chunk of answer %s in the stream of request %s", id, s.requestID)
	}
	return nil
}

func (u *wireUsage) toUsage() *Usage {
	if u == nil {
		return nil
	}
	return &Usage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.CompletionTokens,
		CachedTokens:     u.PromptTokensDetails.CachedTokens,
	}
}

// readEvent returns the id (-1 if there is none) and data of the next event with data. The data is
// valid until the next call.
func (s *eventStream) readEvent() (offset int, data []byte, err error) {
	offset = -1
	for {
		line, err := s.readLine()
		if err != nil {
			return 0, nil, err
		}
		switch {
		case len(line) == 0:
			if data != nil {
				return offset, data, nil
			}
		case bytes.HasPrefix(line, prefixID):
			offset, err = strconv.Atoi(string(bytes.TrimSpace(line[len(prefixID):])))
			if err != nil {
				return 0, nil, err
			}
		case bytes.HasPrefix(line, prefixData):
			data = append(data, bytes.TrimSpace(line[len(prefixData):])...)
			if len(data) > maxStreamLineBytes {
				return 0, nil, errLineTooLong
			}
		}
	}
}

// readLine returns the next line without its line end; the bytes are valid until the next call.
func (s *eventStream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	longLine := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(longLine) > maxStreamLineBytes {
			return nil, errLineTooLong
		}
		line, err = s.reader.ReadSlice('\n')
		longLine = append(longLine, line...)
	}
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return bytes.TrimRight(longLine, "\r\n"), nil
}

// Close closes the stream. After a complete answer the connection returns to the pool.
func (s *eventStream) Close() error {
	if s.finished {
		closeBody(s.body)
	}
	s.cancel()
	return s.body.Close()
}
