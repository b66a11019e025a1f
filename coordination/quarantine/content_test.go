package quarantine

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func contentOf(caller, host, target, body string) Fingerprint {
	hasher := NewHasher(caller, host, target)
	_, _ = hasher.Write([]byte(body))
	return hasher.Fingerprint()
}

func TestContentTellsRequestsApartByEachPart(t *testing.T) {
	same := contentOf("college", "a.example", "/x/1", "body")
	assert.Equal(t, same, contentOf("college", "a.example", "/x/1", "body"))
	for _, other := range []Fingerprint{
		contentOf("other", "a.example", "/x/1", "body"), contentOf("college", "b.example", "/x/1", "body"),
		contentOf("college", "a.example", "/x/2", "body"), contentOf("college", "a.example", "/x/1", "body "),
		// Parts that would be the same text when joined.
		contentOf("collegea", ".example", "/x/1", "body"), contentOf("college", "a.example/", "x/1", "body"),
		contentOf("college", "a.example", "/x/1b", "ody"), contentOf("", "collegea.example", "/x/1", "body"),
	} {
		assert.NotEqual(t, same.ID, other.ID)
	}
}

func TestContentNamesItsCaller(t *testing.T) {
	one, two := contentOf("college", "a.example", "/x/1", ""), contentOf("college", "b.example", "/y", "body")
	assert.Equal(t, one.Caller, two.Caller)
	assert.NotEqual(t, one.Caller, contentOf("other", "a.example", "/x/1", "").Caller)
}

// BenchmarkContent is what a request costs an entry: with a prompt of usual size, and with a large body.
func BenchmarkContent(b *testing.B) {
	for name, size := range map[string]int{"4KiB": 4 << 10, "1MiB": 1 << 20} {
		body := make([]byte, size)
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for range b.N {
				hasher := NewHasher("college", "a.example", "/x/1")
				_, _ = hasher.Write(body)
				_ = hasher.Fingerprint()
			}
		})
	}
}
