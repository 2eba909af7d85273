package cmd

import (
	"context"
	"fmt"
	"time"

	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/jobstore"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/shard"
)

type jobArg struct {
	Job string `positional-arg-name:"JOB" required:"yes"`
}

type jobList struct {
	Limit int `long:"limit" default:"20" description:"maximum number of jobs to list"`
	Args  struct {
		Workspace string `positional-arg-name:"WORKSPACE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute lists a workspace's jobs.
func (c *jobList) Execute([]string) error {
	s, err := store()
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(callTimeout)
	defer cancel()
	jobs, more, err := jobstore.List(ctx, s, ids.WorkspaceID(c.Args.Workspace), c.Limit)
	if err != nil {
		return err
	}
	if globalOptions.JSON {
		return printJSON(jobs)
	}
	for _, j := range jobs {
		printJob(j)
	}
	if more {
		fmt.Println("there are more; raise --limit")
	}
	return nil
}

type jobShow struct {
	Args jobArg `positional-args:"yes"`
}

// Execute prints the job. For an open job it adds the progress that the daemons report.
func (c *jobShow) Execute([]string) error {
	s, err := store()
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(callTimeout)
	defer cancel()
	j, _, err := jobstore.Get(ctx, s, ids.JobID(c.Args.Job))
	if err != nil {
		return err
	}
	if fleet, err := daemonFleet(ctx); err == nil && !j.State.Final() {
		if committed, failed, known := fleet.Progress(ctx, j.ID); known {
			j.Completed, j.Failed = committed-failed, failed
		}
	}
	return outputJob(j)
}

type jobCancel struct {
	Args jobArg `positional-args:"yes"`
}

// Execute cancels the job.
func (c *jobCancel) Execute([]string) error {
	s, err := store()
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(callTimeout)
	defer cancel()
	shards, err := shardCount(ctx, s)
	if err != nil {
		return explainWriteError(err)
	}
	j, err := jobstore.Cancel(ctx, s, ids.JobID(c.Args.Job), shards, time.Now())
	if err != nil {
		return err
	}
	return outputJob(j)
}

// shardCount reads the number of shards from the stored shard map.
func shardCount(ctx context.Context, s platform.Store) (n int, err error) {
	o, err := s.Get(ctx, "config/shards")
	if err != nil {
		return 0, err
	}
	m, err := shard.Parse(o.Value)
	return len(m), err
}

func outputJob(j batch.Job) error {
	if globalOptions.JSON {
		return printJSON(j)
	}
	printJob(j)
	return nil
}

func printJob(j batch.Job) {
	fmt.Printf("%s  %-10s  %-20s  %s  items %d  completed %d  failed %d  due %s\n",
		j.ID, j.State, j.Workspace, j.Service, j.Items, j.Completed, j.Failed, j.Deadline.Format(time.RFC3339))
}
