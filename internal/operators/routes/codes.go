package routes

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Code identifies a kind of finding. Codes are stable: a code never changes its meaning, and
// a retired code is not reused.
type Code string

// The codes. docs/operators/routes.md explains what to do about each.
const (
	Unreadable Code = "RT001" // the file can't be read
	TooLarge   Code = "RT002" // the file is larger than MaxFileSize
	Empty      Code = "RT003" // the file is empty or has no rules
	Syntax     Code = "RT004" // the text is not valid TOML
	Duplicate  Code = "RT005" // a key is defined twice
	UnknownKey Code = "RT006" // the key is unknown
	WrongType  Code = "RT007" // the value has the wrong type
	WrongUnit  Code = "RT008" // a duration can't be parsed or has no unit
	OutOfRange Code = "RT009" // zero, negative, not a number or implausibly large
	WrongCount Code = "RT010" // route_count differs from the number of routes

	NoClass        Code = "RT020" // a route has no class
	UnknownClass   Code = "RT021" // the class is not in the settings
	UnknownTenant  Code = "RT022" // the tenant is not in the settings
	NeverMatches   Code = "RT023" // no request can have this path
	DuplicateRoute Code = "RT024" // another route matches the same requests
	SetsNothing    Code = "RT025" // a route sets no key

	TooManyAttempts Code = "RT030" // more attempts than the platform allows
	AttemptTooLong  Code = "RT031" // an attempt may last longer than its request
	DeadlineTooLong Code = "RT032" // deadline_cap is above the deadline of the class
	NotEnoughTime   Code = "RT033" // the attempts and back-offs take longer than the request may
	BackoffOrder    Code = "RT034" // backoff.first is above backoff.most
	NoEffect        Code = "RT035" // a key has no effect given the others

	CopiesRuledOut Code = "RT040" // the platform does not allow concurrent attempts of a request
	CopyOfKeyed    Code = "RT041" // second copy of a keyed request
	CopyOfUnsafe   Code = "RT042" // second copy of a request that is unsafe to repeat
	CopyTooLate    Code = "RT043" // the copy would be sent after the first attempt has ended
	CopyNoAttempt  Code = "RT044" // a copy counts as an attempt, but only one is allowed

	UnknownOutcome   Code = "RT050" // retry_on has an unknown outcome
	DuplicateOutcome Code = "RT051" // retry_on has a duplicate outcome
	RetryUnsafe      Code = "RT052" // retry of an unsafe request after an outcome where it may have run
	RetryOnNothing   Code = "RT053" // retry_on is empty with more than one attempt

	PastWindow       Code = "RT060" // an attempt may be sent after the servers have dropped its key
	ReturnPastWindow Code = "RT061" // retry_after lets a client return after its key was dropped

	LongAdvice Code = "RT070" // retry_after is above the longest Retry-After
	NoAdvice   Code = "RT071" // the platform sends no Retry-After with refusals

	InvalidNetwork    Code = "RT080" // the network of an idle rule can't be parsed
	IdleOutOfRange    Code = "RT081" // the timeout of an idle rule is out of range
	DuplicateIdleRule Code = "RT082" // another idle rule matches the same connections
	TooManyIdleRules  Code = "RT083" // too many idle rules
)

// Rule returns what a code checks: one of the four rules, the platform's settings, the form
// of the file, or whether its values make sense.
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

// Codes returns all codes in order.
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

// Finding is an error in a file.
type Finding struct {
	Code  Code
	Line  int    // starts at 1; 0: the file as a whole
	Key   string // key as written in the file
	Value string // value as written in the file
	Bound string // allowed values
	Text  string // description of the error
}

// String returns the finding on one line, without the file name.
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

// InFile returns the finding prefixed with file and line, as compilers print errors.
func (f Finding) InFile(file string) string {
	if f.Line > 0 {
		return fmt.Sprintf("%s:%d: %s", file, f.Line, f)
	}
	return fmt.Sprintf("%s: %s", file, f)
}

// SortFindings sorts findings by line, then by code and key.
func SortFindings(all []Finding) {
	slices.SortStableFunc(all, func(x, y Finding) int {
		return cmp.Or(cmp.Compare(x.Line, y.Line), cmp.Compare(x.Code, y.Code), cmp.Compare(x.Key, y.Key))
	})
}
