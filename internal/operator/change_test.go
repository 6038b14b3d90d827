package operator

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// An operator who is not told the number of a change whose response was lost
// would resend it under the next number, and it would be applied twice.
func TestLostResponseNamesChangeNumber(t *testing.T) {
	for kind, named := range map[fault.Kind]bool{
		fault.KindOutcomeUnknown: true, fault.KindUnavailable: true, fault.KindDeadline: true, fault.KindInternal: true,
		fault.KindWrongCluster: false, fault.KindNotLeader: false,
	} {
		c, _ := newCommand(&fakeControl{err: fault.New(kind, "failed", "repeat")})
		err := c.change(t.Context(), changeFlags{number: 12}, &apiv1.ChangeCommand{})
		e, ok := fault.As(err)
		must.True(t, ok, must.Sprint(kind))
		must.EqOp(t, named, strings.Contains(e.Remedy, "-number 12"), must.Sprint(kind))
	}
}
