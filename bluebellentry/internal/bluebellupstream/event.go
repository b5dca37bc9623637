package bluebellupstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// ErrTruncated is the cause of the error when a stream ends before the event [DONE].
var ErrTruncated = errors.New("the stream ended before it was complete")

var (
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// EventReader reads server-sent events. A stream is complete only if its last event is
// [DONE].
type EventReader struct {
	exchange *Exchange
	reader   *bufio.Reader
	done     bool
}

// Next returns the data of the next event. It returns io.EOF after [DONE], and another error
// if the stream breaks before.
func (e *EventReader) Next() ([]byte, error) {
	if e.done {
		return nil, io.EOF
	}
	var data []byte
	for {
		line, err := e.readLine()
		if err != nil {
			return nil, e.exchange.fail(ReadingAnswer, err)
		}
		if len(line) == 0 && data != nil {
			break
		}
		field, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			// Comments and other fields are not passed on.
			continue
		}
		if data != nil {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(field, []byte(" "))...)
		if len(data) > maxEventBytes {
			return nil, e.exchange.fail(ReadingAnswer, errors.New("an event is too large"))
		}
	}
	if !bytes.Equal(data, doneMarker) {
		return data, nil
	}
	e.done = true
	return nil, io.EOF
}

// readLine returns the next line without its line ending.
func (e *EventReader) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := e.reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return bytes.TrimRight(line, "\r\n"), nil
		case errors.Is(err, io.EOF):
			return nil, ErrTruncated
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(line) > maxEventBytes:
			return nil, errors.New("a line is too long")
		}
	}
}

// WriteEvent writes an event with the given data, which may have several lines.
func WriteEvent(w io.Writer, data []byte) error {
	data = bytes.ReplaceAll(data, []byte("\n"), []byte("\ndata: "))
	for _, part := range [][]byte{[]byte("data: "), data, []byte("\n\n")} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}
