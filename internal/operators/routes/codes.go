package routes

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Code names a kind of finding. It is stable: a code is never given another
// meaning, and one that is no longer used is not used again.
type Code string

// The codes. docs/operators/routes.md says of each what to do.
const (
	Unreadable Code = "RT001" // the file can't be read
	TooLarge   Code = "RT002" // the file is larger than MostBytes
	Empty      Code = "RT003" // the file says nothing
	Syntax     Code = "RT004" // the text is no TOML
	Duplicate  Code = "RT005" // a key stands twice
	UnknownKey Code = "RT006" // there is no such key
	WrongType  Code = "RT007" // a value of another type is wanted
	WrongUnit  Code = "RT008" // a duration can't be read, or has no unit
	OutOfRange Code = "RT009" // zero, negative, not a number, or too large to be meant
	WrongCount Code = "RT010" // route_count is not the number of routes

	NoClass        Code = "RT020" // a route has no class
	UnknownClass   Code = "RT021" // the settings name no such class
	UnknownTenant  Code = "RT022" // the settings name no such tenant
	NeverMatches   Code = "RT023" // no request can have this path
	DuplicateRoute Code = "RT024" // another route matches the same requests
	SetsNothing    Code = "RT025" // a route changes nothing

	TooManyAttempts Code = "RT030" // more attempts than the platform allows
	AttemptTooLong  Code = "RT031" // an attempt may last longer than its request
	DeadlineTooLong Code = "RT032" // the cap is above the class's deadline
	NotEnoughTime   Code = "RT033" // attempts and back-off don't fit the time
	BackoffOrder    Code = "RT034" // the first wait is above the most
	NoEffect        Code = "RT035" // a key has no effect beside the others

	CopiesRuledOut Code = "RT040" // attempts of a request may not overlap here
	CopyOfKeyed    Code = "RT041" // a second copy of a keyed request
	CopyOfUnsafe   Code = "RT042" // a second copy of an unsafe request
	CopyTooLate    Code = "RT043" // the copy would go out after its attempt's end
	CopyNoAttempt  Code = "RT044" // a copy needs a second attempt

	UnknownOutcome   Code = "RT050" // retry_on names no outcome
	DuplicateOutcome Code = "RT051" // retry_on names one twice
	RetryUnsafe      Code = "RT052" // an unsafe class, and what may have run
	RetryOnNothing   Code = "RT053" // retry_on is empty, and there are attempts left

	PastWindow       Code = "RT060" // an attempt after the servers may have dropped the key
	ReturnPastWindow Code = "RT061" // a client told to return after that

	LongAdvice Code = "RT070" // advice beyond the longest Retry-After
	NoAdvice   Code = "RT071" // refusals carry no advice here

	InvalidNetwork    Code = "RT080" // an idle rule's network can't be read
	IdleOutOfRange    Code = "RT081" // connections can't idle for so short or so long
	DuplicateIdleRule Code = "RT082" // another idle rule is for the same connections
	TooManyIdleRules  Code = "RT083" // too many idle rules
)

// Rule is what a code stands for: one of the four rules, the platform's
// settings, or the file's form.
func (c Code) Rule() string {
	switch c {
	case Unreadable, TooLarge, Empty, Syntax, Duplicate, UnknownKey, WrongType, WrongUnit, OutOfRange, WrongCount:
		return "form"
	case AttemptTooLong, DeadlineTooLong, NotEnoughTime:
		return "rule 1: one final answer before the client's time is up"
	case TooManyAttempts:
		return "rule 2: at most so many attempts"
	case CopiesRuledOut, CopyOfKeyed, CopyOfUnsafe:
		return "rule 2: never two attempts out at once"
	case RetryUnsafe:
		return "rule 2: unsafe, only once nothing has run"
	case PastWindow, ReturnPastWindow:
		return "rule 2: keyed, only within its group and window"
	case LongAdvice, NoAdvice:
		return "platform: advice in refusals"
	}
	return "sense"
}

// Codes lists all codes in their order.
func Codes() []Code {
	return []Code{
		Unreadable, TooLarge, Empty, Syntax, Duplicate, UnknownKey, WrongType, WrongUnit, OutOfRange, WrongCount,
		NoClass, UnknownClass, UnknownTenant, NeverMatches, DuplicateRoute, SetsNothing,
		TooManyAttempts, AttemptTooLong, DeadlineTooLong, NotEnoughTime, BackoffOrder, NoEffect,
		CopiesRuledOut, CopyOfKeyed, CopyOfUnsafe, CopyTooLate, CopyNoAttempt,
		UnknownOutcome, DuplicateOutcome, RetryUnsafe, RetryOnNothing,
		PastWindow, ReturnPastWindow, LongAdvice, NoAdvice, InvalidNetwork, IdleOutOfRange, DuplicateIdleRule, TooManyIdleRules,
	}
}

// Finding is one fault of a file.
type Finding struct {
	Code  Code
	Line  int    // 1 is the first; 0: the file as a whole
	Key   string // as it stands in the file
	Value string // what stands there
	Bound string // what it would have to be
	Text  string // what is wrong, in words
}

// String is the finding on one line, without the file's name.
func (f Finding) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s", f.Code)
	if f.Key != "" {
		fmt.Fprintf(&b, " %s", f.Key)
	}
	if f.Value != "" {
		fmt.Fprintf(&b, " = %s", f.Value)
	}
	fmt.Fprintf(&b, ": %s", f.Text)
	if f.Bound != "" {
		fmt.Fprintf(&b, "; allowed: %s", f.Bound)
	}
	if rule := f.Code.Rule(); rule != "form" && rule != "sense" {
		fmt.Fprintf(&b, " (%s)", rule)
	}
	return b.String()
}

// InFile is the finding with the file and line in front, as compilers print them.
func (f Finding) InFile(file string) string {
	if f.Line > 0 {
		return fmt.Sprintf("%s:%d: %s", file, f.Line, f)
	}
	return fmt.Sprintf("%s: %s", file, f)
}

// Order sorts findings by line, then by code.
func SortFindings(all []Finding) {
	slices.SortStableFunc(all, func(x, y Finding) int {
		return cmp.Or(cmp.Compare(x.Line, y.Line), cmp.Compare(x.Code, y.Code), cmp.Compare(x.Key, y.Key))
	})
}
