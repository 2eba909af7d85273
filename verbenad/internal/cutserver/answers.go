package cutserver

import (
	"bufio"
	"embed"
	"errors"
	"fmt"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"
)

//go:embed answers
var answerFiles embed.FS

// longFieldBytes is more than a client reads at once.
const longFieldBytes = 10_000

// Case is an answer, byte for byte, and what becomes of it. Its file has a line for each property, whose text is quoted as in Go.
type Case struct {
	Name string
	// UploadBytes is the length of the body of the request that gets the answer.
	UploadBytes int
	// Late is set if the answer's head is sound, so that a part of the answer may have been forwarded before its fault shows.
	Late bool

	raw, want string
	ending    Ending
	early     bool
	pause     time.Duration
}

// Cases returns all cases, in the order of their names.
func Cases() (list []Case, err error) {
	files, err := answerFiles.ReadDir("answers")
	if err != nil {
		return nil, err
	}
	for _, f := range files {
		c, err := readCase(f.Name())
		if err != nil {
			return nil, err
		}
		list = append(list, c)
	}
	return list, nil
}

func readCase(file string) (c Case, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read %s: %w", file, err)
		}
	}()
	c.Name = strings.TrimSuffix(file, ".txt")
	f, err := answerFiles.Open(path.Join("answers", file))
	if err != nil {
		return c, err
	}
	defer func() { _ = f.Close() }() // it is only read
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		key, value, _ := strings.Cut(lines.Text(), " ")
		var err error
		switch key {
		case "#":
		case "answer":
			c.raw, err = strconv.Unquote(value)
		case "want":
			c.want, err = strconv.Unquote(value)
		case "upload":
			c.UploadBytes, err = strconv.Atoi(value)
		case "early":
			c.early = true
		case "pause":
			c.pause, err = time.ParseDuration(value)
		case "late":
			c.Late = true
		case "ending":
			c.ending, err = parseEnding(value)
		default:
			err = errors.New("unknown property " + key)
		}
		if err != nil {
			return c, err
		}
	}
	return c, lines.Err()
}

func parseEnding(name string) (e Ending, err error) {
	for _, e := range []Ending{Close, Reset, CloseThenReset, None} {
		if e.String() == name {
			return e, nil
		}
	}
	return Close, errors.New("unknown ending " + name)
}

// Sound reports whether the answer may be forwarded.
func (c *Case) Sound() bool { return c.want != "" }

// Answer returns the answer with header lines and a body. notRun is the header line that says that the request was not run.
func (c *Case) Answer(header []string, notRun, body string) Answer {
	return Answer{Raw: fill(c.raw, header, notRun, body), Ending: c.ending, Early: c.early, Pause: c.pause}
}

// Want returns what a caller gets for a sound answer.
func (c *Case) Want(header []string, body string) string {
	_, status, _ := strings.Cut(c.want, " ")
	status, _, _ = strings.Cut(status, " ")
	code, _ := strconv.Atoi(status) // a wrong one has no reason
	reason := http.StatusText(code)
	if reason == "" {
		reason = "status code " + status
	}
	return strings.ReplaceAll(fill(c.want, header, "", body), "{reason}", reason)
}

func fill(text string, header []string, notRun, body string) string {
	return strings.NewReplacer(
		"{head}", strings.Join(header, "\r\n")+"\r\n", "{not run}", notRun+"\r\n", "{body}", body, "{length}", strconv.Itoa(len(body)),
		"{size}", strconv.FormatInt(int64(len(body)), 16), "{long}", strings.Repeat("x", longFieldBytes),
	).Replace(text)
}
