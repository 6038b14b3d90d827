package fairqueue

import (
	"cmp"
	"slices"
	"time"
)

// node is an element of a group's linked list of items.
type node[T any] struct {
	item       Item[T]
	ticket     Ticket
	prev, next *node[T]
	index      int // position in Queue.deadlines
}

// group is the list of one team's items for one adapter version, oldest first.
type group[T any] struct {
	name       string
	head, tail *node[T]
	count      int
}

// team is one team's waiting items in one class.
type team[T any] struct {
	name   string
	weight float64
	finish float64 // finish tag of the item served last
	cost   float64 // total cost of the waiting items
	count  int
	groups map[string]*group[T]
	order  []*group[T] // by ticket of the head
}

// class schedules teams by start-time fair queueing: the team with the least
// start tag max(virtualTime, finish) is next, and the virtual time is the start tag
// of the item served last. A team that had to wait for a load gets no credit for
// it, but of teams with equal start tags the one with the oldest head is next.
type class[T any] struct {
	virtualTime float64
	teams       map[string]*team[T]
	order       []*team[T] // teams with items
	count       int
	cost        float64
}

func (c *class[T]) push(n *node[T], weight float64) {
	t := c.teams[n.item.Team]
	if t == nil {
		t = &team[T]{name: n.item.Team, groups: map[string]*group[T]{}}
		c.teams[t.name] = t
	}
	t.weight = weight
	if t.count == 0 {
		c.order = append(c.order, t)
	}
	g := t.groups[n.item.Group]
	if g == nil {
		g = &group[T]{name: n.item.Group}
		t.groups[g.name] = g
		t.order = append(t.order, g) // its head has the newest ticket
	}
	g.append(n)
	t.count++
	t.cost += float64(n.item.Cost)
	c.count++
	c.cost += float64(n.item.Cost)
}

func (g *group[T]) append(n *node[T]) {
	n.prev = g.tail
	if g.tail == nil {
		g.head = n
	} else {
		g.tail.next = n
	}
	g.tail = n
	g.count++
}

func (g *group[T]) unlink(n *node[T]) {
	if n.prev == nil {
		g.head = n.next
	} else {
		n.prev.next = n.next
	}
	if n.next == nil {
		g.tail = n.prev
	} else {
		n.next.prev = n.prev
	}
	n.prev, n.next = nil, nil
	g.count--
}

func (c *class[T]) remove(n *node[T]) {
	t := c.teams[n.item.Team]
	t.remove(n)
	c.count--
	c.cost -= float64(n.item.Cost)
	if t.count > 0 {
		return
	}
	c.order = slices.DeleteFunc(c.order, func(o *team[T]) bool { return o == t })
	t.cost = 0
	if t.finish <= c.virtualTime {
		delete(c.teams, t.name) // a new entry would get the same start tag
	}
	if c.count == 0 {
		c.cost = 0
		clear(c.teams)
	}
}

func (t *team[T]) remove(n *node[T]) {
	g := t.groups[n.item.Group]
	head := g.head == n
	g.unlink(n)
	t.count--
	t.cost -= float64(n.item.Cost)
	if g.count == 0 {
		delete(t.groups, g.name)
		i := slices.Index(t.order, g)
		t.order = slices.Delete(t.order, i, i+1)
	} else if head {
		t.reorder(g)
	}
}

// reorder restores the order of the groups after the head of g was removed.
func (t *team[T]) reorder(g *group[T]) {
	i := slices.Index(t.order, g)
	for ; i+1 < len(t.order) && t.order[i+1].head.ticket < g.head.ticket; i++ {
		t.order[i] = t.order[i+1]
	}
	t.order[i] = g
}

// next returns the next ready item and charges its cost to the team.
func (c *class[T]) next(_ time.Time, ready func(*Item[T]) bool) *node[T] {
	slices.SortFunc(c.order, c.compare)
	for _, t := range c.order {
		for _, g := range t.order {
			if !ready(&g.head.item) {
				continue
			}
			c.virtualTime = max(c.virtualTime, t.finish)
			t.finish = c.virtualTime + float64(g.head.item.Cost)/t.weight
			return g.head
		}
	}
	return nil
}

// compare orders teams by start tag, then by the age of the oldest head.
func (c *class[T]) compare(a, b *team[T]) int {
	return cmp.Or(
		cmp.Compare(max(c.virtualTime, a.finish), max(c.virtualTime, b.finish)),
		cmp.Compare(a.order[0].head.ticket, b.order[0].head.ticket),
	)
}

// ahead returns how many tokens of this class are served before a new item of the
// team.
func (c *class[T]) ahead(name string, weight float64) float64 {
	var ownCost, start = 0.0, c.virtualTime
	if t := c.teams[name]; t != nil {
		ownCost, start = t.cost, max(c.virtualTime, t.finish)
	}
	start += ownCost / weight
	ahead := ownCost
	for _, t := range c.order {
		if t.name != name {
			ahead += min(t.cost, max(0, start-max(c.virtualTime, t.finish))*t.weight)
		}
	}
	return ahead
}

// deadlines is a heap of nodes ordered by deadline.
type deadlines[T any] []*node[T]

func (d deadlines[T]) Len() int { return len(d) }

func (d deadlines[T]) Less(i, j int) bool {
	if c := d[i].item.Deadline.Compare(d[j].item.Deadline); c != 0 {
		return c < 0
	}
	return d[i].ticket < d[j].ticket
}

func (d deadlines[T]) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push implements heap.Interface.
func (d *deadlines[T]) Push(x any) {
	n := x.(*node[T])
	n.index = len(*d)
	*d = append(*d, n)
}

// Pop implements heap.Interface.
func (d *deadlines[T]) Pop() any {
	old := *d
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return n
}
