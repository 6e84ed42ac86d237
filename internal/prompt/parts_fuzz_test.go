package prompt

import "testing"

// FuzzParts: no header value from a caller results in a negative number of tokens.
func FuzzParts(f *testing.F) {
	for _, seed := range []string{"", "a:1", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", ",,", "a:", ":1", "a:-5,b:3", "a:99999999999999999999", "a:9223372036854775807,b:9223372036854775807"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, header string) {
		_, shared, tokens := ParseParts(header).SharedKey()
		if shared < 0 || tokens < 0 || shared > tokens {
			t.Fatalf("%d shared of %d tokens in %q", shared, tokens, header)
		}
	})
}
