package dispatch

// longestFirst is a heap with the longest work on top.
type longestFirst []*batchWork

func (l longestFirst) Len() int           { return len(l) }
func (l longestFirst) Less(i, j int) bool { return l[i].runTime > l[j].runTime }
func (l longestFirst) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *longestFirst) Push(x any) { *l = append(*l, x.(*batchWork)) }

// Pop implements heap.Interface.
func (l *longestFirst) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}
