package exchanger

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Guards against changes of a field's encoding: member records in the store and reports of nodes that run another version
// would be misread. The file holds the reference encoding.
func TestEncodedReportsStayTheSame(t *testing.T) {
	member := Member{
		Node: "portal-1", DeliveryAddress: "10.0.0.1:7400", PeerAddress: "10.0.0.1:7401", Domain: "north", Service: "portal", Endpoint: "i-1",
		Slots: 45, State: Stopping, ColdLeft: 2500, Incarnation: 7, Sequence: 9,
	}
	report := Report{
		Member: member, Age: 120, Number: 33, Demand: map[identifier.Team]float64{"parishes": 1.5}, Excess: 0.25,
		Calls:      map[identifier.Route]map[identifier.Route]float64{"search": {"times": 4}},
		NestedTime: 80, RootTime: 90, ColdLeft: 1500, Load: 0.75,
	}
	compact := report
	compact.Compact, compact.Member = true, Member{Node: "portal-2"}
	record, err := EncodeMember(member)
	assert.NilError(t, err)
	question, err := EncodeQuestion(Question{Report: report, Since: Cursor{Table: 11, Change: 12}, Forwarded: []Report{report}})
	assert.NilError(t, err)
	answer, err := EncodeAnswer(Answer{Cursor: Cursor{Table: 13, Change: 14}, Reports: []Report{report, compact}})
	assert.NilError(t, err)
	lines := []string{
		"member " + hex.EncodeToString(record),
		"question " + hex.EncodeToString(question),
		"answer " + hex.EncodeToString(answer),
	}
	stored, err := os.ReadFile("testdata/messages.txt")
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(lines, "\n")+"\n", string(stored))
	decoded, err := DecodeMember(record)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, member)
	_, err = DecodeQuestion(question)
	assert.NilError(t, err)
	_, err = DecodeAnswer(answer)
	assert.NilError(t, err)
}
