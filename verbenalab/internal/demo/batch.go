package demo

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"verbenaledge.example/verbenalab/internal/load"
)

// outcome counts what came back of a batch.
type outcome struct {
	batch   load.Batch
	took    time.Duration
	lost    int
	doubled int
	errored int
	done    int
}

// batch submits a job, waits for its end and counts its results.
func (d *Demo) batch(ctx context.Context) (o outcome, err error) {
	time.Sleep(batchAfter)
	ctx, cancel := context.WithTimeout(ctx, batchLimit)
	defer cancel()
	key := d.keys["archive"]
	file, err := d.caller.Upload(ctx, key, input())
	if err != nil {
		return o, err
	}
	start := time.Now()
	b, err := d.caller.Submit(ctx, key, file, "evening-bundle", "1m")
	if err != nil {
		return o, err
	}
	say("batch %s accepted", b.ID)
	if o.batch, err = d.caller.Await(ctx, key, b.ID); err != nil {
		return o, fmt.Errorf("batch %s at %d of %d items: %w", b.ID, o.batch.Counts.Completed, items, err)
	}
	o.took = time.Since(start)
	say("batch %s %s after %s", b.ID, o.batch.Status, o.took.Round(time.Millisecond))
	lines, err := d.caller.Output(ctx, key, o.batch.OutputFileID)
	if err != nil {
		return o, err
	}
	o.count(lines)
	return o, nil
}

func (o *outcome) count(lines []load.OutputLine) {
	seen := map[string]int{}
	for _, l := range lines {
		seen[l.CustomID]++
		if l.Error != nil {
			o.errored++
		} else {
			o.done++
		}
	}
	for i := range items {
		switch n := seen[customID(i)]; {
		case n == 0:
			o.lost++
		case n > 1:
			o.doubled += n - 1
		}
	}
}

func customID(i int) string {
	return fmt.Sprintf("mould-%04d", i)
}

// input is a bundle of catalogue entries, a few of which can never be done.
func input() []byte {
	var b bytes.Buffer
	for i := range items {
		note := ""
		if i%badEvery == badEvery-1 {
			note = " [[fail]]"
		}
		fmt.Fprintf(&b, `{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":24,`+
			`"messages":[{"role":"user","content":"Write the catalogue entry of mould %d.%s"}]}}`+"\n", customID(i), model, i, note)
	}
	return b.Bytes()
}
