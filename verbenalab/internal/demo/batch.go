package demo

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"verbenaledge.example/verbenalab/internal/load"
)

// batchOutcome is the final state of a batch job and the counts of its results.
type batchOutcome struct {
	batch      load.Batch
	duration   time.Duration
	lost       int
	duplicated int
	errored    int
	completed  int
}

// runBatch submits a batch job, waits for its end and counts its results.
func (d *Demo) runBatch(ctx context.Context) (o batchOutcome, err error) {
	time.Sleep(batchDelay)
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	key := d.keys["archive"]
	file, err := d.caller.Upload(ctx, key, batchInput())
	if err != nil {
		return o, err
	}
	start := time.Now()
	b, err := d.caller.Submit(ctx, key, file, "evening-bundle", "1m")
	if err != nil {
		return o, err
	}
	logf("batch %s accepted", b.ID)
	if o.batch, err = d.caller.AwaitEnd(ctx, key, b.ID); err != nil {
		return o, fmt.Errorf("batch %s at %d of %d items: %w", b.ID, o.batch.Counts.Completed, itemCount, err)
	}
	o.duration = time.Since(start)
	logf("batch %s %s after %s", b.ID, o.batch.Status, o.duration.Round(time.Millisecond))
	lines, err := d.caller.Output(ctx, key, o.batch.OutputFileID)
	if err != nil {
		return o, err
	}
	o.count(lines)
	return o, nil
}

// count counts the results by kind, and the items without a result or with several.
func (o *batchOutcome) count(lines []load.OutputLine) {
	seen := map[string]int{}
	for _, l := range lines {
		seen[l.CustomID]++
		if l.Error != nil {
			o.errored++
		} else {
			o.completed++
		}
	}
	for i := range itemCount {
		switch n := seen[customID(i)]; {
		case n == 0:
			o.lost++
		case n > 1:
			o.duplicated += n - 1
		}
	}
}

func customID(i int) string {
	return fmt.Sprintf("mould-%04d", i)
}

// batchInput returns an input file with itemCount items. One in failEvery carries a marker that makes the engine fail it.
func batchInput() []byte {
	var b bytes.Buffer
	for i := range itemCount {
		marker := ""
		if i%failEvery == failEvery-1 {
			marker = " [[fail]]"
		}
		fmt.Fprintf(&b, `{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":24,`+
			`"messages":[{"role":"user","content":"Write the catalogue entry of mould %d.%s"}]}}`+"\n", customID(i), model, i, marker)
	}
	return b.Bytes()
}
