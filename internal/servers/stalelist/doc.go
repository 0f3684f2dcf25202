// Package stalelist says which servers of an old list a starting node may try, while
// discovery is silent.
//
// Each server of a Table has a doubt, the odds that nothing of its tier is at its address any
// more: by the list's age, by what trying others brought, in its rack above all, and by what
// trying it brought. A few at a time are offered, each node its own few; what fails is taken
// back, and the next comes. A young list is offered whole.
//
// It is pure. A Table belongs to the loop. It must not choose the server of a request: it says
// which there are, and which of these are untried.
package stalelist
