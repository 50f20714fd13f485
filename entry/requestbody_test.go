package entry

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a target that gets a body with missing parts, because the goroutine of an earlier attempt, which ended
// before it had read anything, reads the body at the same time.
func TestOneAttemptReadsBody(t *testing.T) {
	const body = "the whole body"
	is := is.New(t)
	x := &exchange{body: strings.NewReader(body)}
	is.True(x.replayable())
	first := x.nextBody()
	is.True(x.replayable()) // The first attempt has ended.
	second := x.nextBody()
	n, err := first.Read(make([]byte, 4))
	is.Equal(n, 0)
	is.True(err != nil && err != io.EOF)
	got, err := io.ReadAll(second)
	is.NoErr(err)
	is.Equal(string(got), body)
	is.True(!x.replayable())
}
