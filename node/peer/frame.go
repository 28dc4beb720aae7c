package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"

	"github.com/basilferry/basilferry/core/domain"
)

const (
	// MaxMessageBytes is the maximum size of one message: a payload or answer of
	// at most domain.MaxPayloadBytes with its other fields, or the records of a
	// ConfigReply.
	MaxMessageBytes = 4 * domain.MaxPayloadBytes
	// headerBytes is the size of a frame header: a big-endian 32-bit number
	// whose lower 31 bits are the length of the frame.
	headerBytes = 4
	// newStreamFlag is the header bit of a frame that starts a new gob stream.
	newStreamFlag = 1 << 31
	// maxReusedBufferBytes is the maximum size of a buffer that is kept for the
	// next message, so that one large message does not occupy memory until the
	// connection is closed.
	maxReusedBufferBytes = 64 << 10
)

// errMessageFormat is returned for a frame or hello that violates the protocol.
var errMessageFormat = errors.New("a message does not follow the frame format")

// unsendableError is the error of a message that cannot be encoded or is too
// large. Nothing was written, and the connection stays usable.
type unsendableError struct{ cause *domain.Error }

func (e *unsendableError) Error() string { return e.cause.Error() }
func (e *unsendableError) Unwrap() error { return e.cause }

// frameWriter writes messages as frames. It is not safe for concurrent use.
type frameWriter struct {
	w   io.Writer
	buf bytes.Buffer
	enc *gob.Encoder
	// startsStream is true if the next frame starts a new gob stream.
	startsStream bool
}

func newFrameWriter(w io.Writer) *frameWriter {
	f := &frameWriter{w: w}
	f.resetStream()
	return f
}

// resetStream starts a new gob stream. After a failed write this is necessary:
// the encoder does not repeat type descriptions, although the frame that held
// them may never have been written.
func (f *frameWriter) resetStream() {
	f.buf = bytes.Buffer{}
	f.enc = gob.NewEncoder(&f.buf)
	f.startsStream = true
}

// write sends the values as one frame.
func (f *frameWriter) write(values ...any) error {
	if err := f.encode(values); err != nil {
		f.resetStream()
		return err
	}
	frame := f.buf.Bytes()
	header := uint32(len(frame) - headerBytes)
	if f.startsStream {
		header |= newStreamFlag
	}
	binary.BigEndian.PutUint32(frame, header)
	_, err := f.w.Write(frame)
	f.startsStream = false
	if f.buf.Cap() > maxReusedBufferBytes {
		f.buf = bytes.Buffer{}
	}
	return err
}

func (f *frameWriter) encode(values []any) error {
	f.buf.Reset()
	f.buf.Write(make([]byte, headerBytes))
	for _, v := range values {
		if err := f.enc.Encode(v); err != nil {
			return &unsendableError{&domain.Error{
				Kind:    domain.KindInternal,
				Message: "a message cannot be encoded: " + err.Error(),
				Remedy:  "report this as a defect",
			}}
		}
	}
	if size := f.buf.Len() - headerBytes; size > MaxMessageBytes {
		return &unsendableError{&domain.Error{
			Kind:    domain.KindTooLarge,
			Message: fmt.Sprintf("a message between nodes has %d bytes, the limit is %d", size, MaxMessageBytes),
			Remedy:  "send a reference to the data in place of the data",
		}}
	}
	return nil
}

// frameReader reads the messages that a frameWriter wrote. It is not safe for
// concurrent use.
type frameReader struct {
	r   *bufio.Reader
	buf bytes.Buffer
	dec *gob.Decoder
	// decodeErr is the first decoding error; the gob stream cannot be used after
	// it.
	decodeErr error
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{r: bufio.NewReader(r)}
}

// readFrame reads the next complete frame. It returns io.EOF only at the start
// of a frame.
func (f *frameReader) readFrame() error {
	if f.decodeErr != nil {
		return f.decodeErr
	}
	var raw [headerBytes]byte
	if _, err := io.ReadFull(f.r, raw[:]); err != nil {
		return err
	}
	header := binary.BigEndian.Uint32(raw[:])
	size := int64(header &^ newStreamFlag)
	if size > MaxMessageBytes {
		return errMessageFormat
	}
	if err := f.readContent(size); err != nil {
		return err
	}
	if header&newStreamFlag != 0 {
		f.dec = gob.NewDecoder(&f.buf)
	}
	if f.dec == nil {
		return errMessageFormat
	}
	return nil
}

// readContent reads the content of a frame. The buffer grows with the bytes that
// arrive and is not allocated from the length in the header.
func (f *frameReader) readContent(size int64) error {
	if f.buf.Cap() > maxReusedBufferBytes {
		f.buf = bytes.Buffer{}
	}
	f.buf.Reset()
	_, err := io.CopyN(&f.buf, f.r, size)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// decode decodes the next value of the frame; a nil v skips it.
func (f *frameReader) decode(v any) error {
	err := f.dec.Decode(v)
	if err != nil {
		f.decodeErr = fmt.Errorf("a message cannot be decoded: %w", err)
		return f.decodeErr
	}
	return nil
}
