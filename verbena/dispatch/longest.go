package dispatch

// longest is a heap with the longest work first.
type longest []*work

func (l longest) Len() int           { return len(l) }
func (l longest) Less(i, j int) bool { return l[i].left > l[j].left }
func (l longest) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }

// Push adds work; it serves container/heap.
func (l *longest) Push(x any) { *l = append(*l, x.(*work)) }

// Pop removes the last; it serves container/heap.
func (l *longest) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}
