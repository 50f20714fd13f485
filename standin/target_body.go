package standin

import (
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
)

// nonceBody is the body that belongs to a nonce: a pseudo-random stream (splitmix64) seeded with
// the hash of the nonce, so that missing bytes and bytes of another response are detected.
type nonceBody struct {
	state     uint64
	remaining int64
	word      [8]byte
	usedBytes int
}

// NonceBody returns the response body of size bytes that belongs to a nonce.
func NonceBody(nonce string, size int64) io.Reader {
	return &nonceBody{state: xxhash.Sum64String(nonce), remaining: size, usedBytes: 8}
}

// Read implements io.Reader.
func (b *nonceBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), b.remaining)]
	n := 0
	for n < len(p) && b.usedBytes < 8 {
		n += b.copyWord(p[n:])
	}
	for ; len(p)-n >= 8; n += 8 {
		binary.LittleEndian.PutUint64(p[n:], b.next())
	}
	for n < len(p) {
		binary.LittleEndian.PutUint64(b.word[:], b.next())
		b.usedBytes = 0
		n += b.copyWord(p[n:])
	}
	b.remaining -= int64(n)
	return n, nil
}

// copyWord copies the unused bytes of the current word.
func (b *nonceBody) copyWord(p []byte) int {
	n := copy(p, b.word[b.usedBytes:])
	b.usedBytes += n
	return n
}

// next returns the next word of splitmix64.
func (b *nonceBody) next() uint64 {
	b.state += 0x9e3779b97f4a7c15
	z := b.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// CheckNonceBody reads a response body to its end and reports whether it is the complete body of
// size bytes that belongs to the nonce. n is the number of bytes read.
func CheckNonceBody(body io.Reader, nonce string, size int64) (ok bool, n int64, err error) {
	want, got := xxhash.New(), xxhash.New()
	if _, err := io.Copy(want, NonceBody(nonce, size)); err != nil {
		return false, 0, err
	}
	n, err = io.Copy(got, body)
	return err == nil && n == size && got.Sum64() == want.Sum64(), n, err
}

// bodyHasher reads a request body and computes its length and hash.
type bodyHasher struct {
	io.Reader
	digest *xxhash.Digest
	length int64
	err    error
}

// Read implements io.Reader.
func (b *bodyHasher) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.length += int64(n)
	_, _ = b.digest.Write(p[:n]) // never fails
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}
