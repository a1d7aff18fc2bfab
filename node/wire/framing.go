package wire

import (
	"encoding/gob"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/fleet/contract"
)

// ErrForeignFrame marks a frame that belongs to another request or attempt, or is out of sequence.
var ErrForeignFrame = errors.New("wire: frame of another request, attempt or position")

// ErrTruncated marks an answer whose end is missing or does not match its data.
var ErrTruncated = errors.New("wire: answer is truncated")

// FrameWriter writes the frames of one answer.
type FrameWriter struct {
	enc     *gob.Encoder
	request string
	attempt string
	seq     uint64
	bytes   uint64
	hash    *xxhash.Digest
}

// NewFrameWriter returns a writer of the answer to one attempt.
func NewFrameWriter(w io.Writer, request, attempt string) *FrameWriter {
	return &FrameWriter{enc: gob.NewEncoder(w), request: request, attempt: attempt, hash: xxhash.New()}
}

// Head starts the answer.
func (w *FrameWriter) Head(status int, contentType string) error {
	return w.write(Frame{Kind: FrameHead, Status: status, ContentType: contentType})
}

// Data adds a piece of the body.
func (w *FrameWriter) Data(p []byte) error {
	w.bytes += uint64(len(p))
	_, _ = w.hash.Write(p)
	return w.write(Frame{Kind: FrameData, Data: p})
}

// End completes the answer.
func (w *FrameWriter) End() error {
	return w.write(Frame{Kind: FrameEnd, Bytes: w.bytes, Hash: w.hash.Sum64()})
}

// Refuse ends the stream with a refusal.
func (w *FrameWriter) Refuse(r contract.Refusal) error {
	return w.write(Frame{Kind: FrameRefused, Refusal: r})
}

func (w *FrameWriter) write(f Frame) error {
	f.Request, f.Attempt, f.Seq = w.request, w.attempt, w.seq
	w.seq++
	return w.enc.Encode(f)
}

// FrameReader reads the frames of one answer and checks that they belong to it and are complete.
type FrameReader struct {
	dec     *gob.Decoder
	request string
	attempt string
	seq     uint64
	bytes   uint64
	hash    *xxhash.Digest
}

// NewFrameReader returns a reader of the answer to one attempt.
func NewFrameReader(r io.Reader, request, attempt string) *FrameReader {
	return &FrameReader{dec: gob.NewDecoder(r), request: request, attempt: attempt, hash: xxhash.New()}
}

// Next returns the next frame. It fails with ErrForeignFrame on a frame that is not the next one of this attempt, and
// with ErrTruncated if the stream ends early or FrameEnd does not match the data.
func (r *FrameReader) Next() (Frame, error) {
	var f Frame
	if err := r.dec.Decode(&f); err != nil {
		return f, errors.Mark(errors.Wrap(err, "read frame"), ErrTruncated)
	}
	if f.Request != r.request || f.Attempt != r.attempt || f.Seq != r.seq {
		return f, errors.Wrapf(ErrForeignFrame, "got %s/%s frame %d, want %s/%s frame %d",
			f.Request, f.Attempt, f.Seq, r.request, r.attempt, r.seq)
	}
	r.seq++
	switch f.Kind {
	case FrameData:
		r.bytes += uint64(len(f.Data))
		_, _ = r.hash.Write(f.Data)
	case FrameEnd:
		if f.Bytes != r.bytes || f.Hash != r.hash.Sum64() {
			return f, errors.Wrapf(ErrTruncated, "got %d bytes, want %d", r.bytes, f.Bytes)
		}
	}
	return f, nil
}
