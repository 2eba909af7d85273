// Package cutserver plays servers for tests: their responses have any of the forms of HTTP/1.x and end at any byte, in one of
// several ways.
package cutserver

import (
	"embed"
	"fmt"
	"path"
	"strconv"
	"strings"
)

//go:embed shapes
var shapeFiles embed.FS

// Shape is a form of a response: its framing, and what stands beside its body.
type Shape struct {
	Name string
	// text is the response. A line ends with CRLF, or with nothing if its last character is a backslash.
	text string
}

// Shapes returns all shapes, in the order of their names.
func Shapes() (list []Shape, err error) {
	files, err := shapeFiles.ReadDir("shapes")
	if err != nil {
		return nil, err
	}
	for _, f := range files {
		text, err := shapeFiles.ReadFile(path.Join("shapes", f.Name()))
		if err != nil {
			return nil, err
		}
		list = append(list, Shape{Name: strings.TrimSuffix(f.Name(), ".txt"), text: string(text)})
	}
	return list, nil
}

// EndsWithConnection reports whether only the end of the connection shows the end of the body.
func (s Shape) EndsWithConnection() bool { return strings.HasPrefix(s.Name, "connection") }

// Response returns the bytes of a response with a status line's rest, header lines and a body. headBytes is the number of
// those before the body.
func (s Shape) Response(status string, header []string, body string) (raw string, headBytes int) {
	middle := len(body) / 2
	a, b := body[:middle], body[middle:]
	text := strings.ReplaceAll(s.text, "\\\n", "")
	text = strings.ReplaceAll(text, "\n", "\r\n")
	raw = strings.NewReplacer(
		"{status}", status, "{head}", strings.Join(header, "\r\n"), "{body}", body, "{a}", a, "{b}", b,
		"{length}", strconv.Itoa(len(body)), "{length of a}", strconv.Itoa(len(a)),
		"{size of a}", fmt.Sprintf("%x", len(a)), "{size of b}", fmt.Sprintf("%x", len(b)),
	).Replace(text)
	final := strings.Index(raw, status)
	return raw, final + strings.Index(raw[final:], "\r\n\r\n") + len("\r\n\r\n")
}
