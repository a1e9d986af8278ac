package responses

import (
	"bufio"
	"bytes"
	"io"
	"regexp"
	"strconv"
	"testing"
)

// The grammar of a chunked body (RFC 9112, section 7.1) but for the content of the chunks, in
// which each byte is a character of Latin-1.
const (
	tokenPattern     = "[-!#$%&'*+.^_`|~0-9A-Za-z]+"
	quotedPattern    = `"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"`
	extensionPattern = `[ \t]*;[ \t]*` + tokenPattern + `(?:[ \t]*=[ \t]*(?:` + tokenPattern + `|` + quotedPattern + `))?`
)

var (
	chunkLinePattern = regexp.MustCompile(`^([0-9A-Fa-f]+)(?:` + extensionPattern + `)*\r\n`)
	trailerPattern   = regexp.MustCompile(`^(?:` + fieldPattern + `)*\r\n`)
	// framingTrailerPattern matches a trailer with a field that must not be there.
	framingTrailerPattern = regexp.MustCompile(`(?i)(?:^|\n)(?:content-length|content-encoding|transfer-encoding):`)
)

// grammarChunks returns the content of the chunked body at the start of the text by the
// grammar, and the text behind it. ok is false if there is none.
func grammarChunks(text string) (content, rest string, ok bool) {
	for {
		match := chunkLinePattern.FindStringSubmatch(text)
		if match == nil {
			return "", "", false
		}
		text = text[len(match[0]):]
		size, err := strconv.ParseInt(match[1], 16, 64)
		if err != nil {
			return "", "", false
		}
		if size == 0 {
			trailer := trailerPattern.FindString(text)
			return content, text[len(trailer):], trailer != "" && !framingTrailerPattern.MatchString(trailer)
		}
		characters := []rune(text)
		if size > int64(len(characters)-2) || string(characters[size:size+2]) != "\r\n" {
			return "", "", false
		}
		content += string(characters[:size])
		text = string(characters[size+2:])
	}
}

// Guards against a chunked body that is accepted although the grammar rejects it, and against
// one that is rejected although the grammar allows it.
func FuzzChunks(f *testing.F) {
	for _, seed := range []string{
		"c\r\nhello, world\r\n0\r\n\r\n",
		"5;a=b\r\nhello\r\n7 ; c = \"d\\\"\"\r\n, world\r\n0;e\r\nA: b\r\n\r\nnext",
		"00A\r\n0123456789\r\n000\r\n\r\n",
		"1 \r\na\r\n0\r\n\r\n",
		"1\na\r\n0\r\n\r\n",
		"0\r\nA : b\r\n\r\n",
		"0\r\nContent-Length: 1\r\n\r\n",
		"ffffffffffffffff\r\n\r\n0\r\n\r\n",
		"1;a=\"\xff\"\r\n\xff\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if len(raw) > maxTrailer {
			return
		}
		want, wantRest, valid := grammarChunks(latin1(raw))
		r := bufio.NewReaderSize(bytes.NewReader(raw), bufferSize)
		got, err := readBody(r, lengthChunked, Limit{Size: maxBody})
		if (err == nil) != valid {
			t.Fatalf("allowed by the grammar: %t, error: %v", valid, err)
		}
		if !valid {
			return
		}
		rest, _ := io.ReadAll(r)
		if latin1(got) != want || latin1(rest) != wantRest {
			t.Fatalf("read %q and %q, not %q and %q", got, rest, want, wantRest)
		}
	})
}
