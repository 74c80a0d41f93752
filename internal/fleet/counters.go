package fleet

import (
	"fmt"
	"reflect"
	"strings"
	"sync/atomic"
)

// Counters count what the proxy takes in, sends and answers since its start.
type Counters struct {
	Clients, ClientsOpen         atomic.Int64 // connections, in all and now
	Exchanges, Held, Crowded     atomic.Int64 // taken; without an answer now; shed at the door for want of places
	Completed, Shed, Errored     atomic.Int64 // final answers
	Left                         atomic.Int64 // clients gone before their answer
	Tries, Cancelled             atomic.Int64 // upstream tries, and those called off
	EndCompleted, EndLacking     atomic.Int64 // how tries ended
	EndNoRoom, EndFault          atomic.Int64
	EndSilent, EndUnreachable    atomic.Int64
	EndCut, EndUndone, EndUnsent atomic.Int64
	Dials, UpstreamOpen          atomic.Int64 // connections to peers, in all and now
	Lists, Watches               atomic.Int64 // changes of the list; watches begun
	BadClient, BadPeer           atomic.Int64 // connections ended for bad bytes
	Panics                       atomic.Int64
}

// String prints each counter with its name, a line each, in the order above.
func (c *Counters) String() string {
	var s strings.Builder
	v := reflect.ValueOf(c).Elem()
	for i := range v.NumField() {
		fmt.Fprintf(&s, "%s %d\n", v.Type().Field(i).Name, v.Field(i).Addr().Interface().(*atomic.Int64).Load())
	}
	return s.String()
}
