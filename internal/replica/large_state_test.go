package replica

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against an empty host that does not vote in time with a state of more than
// TransferSnapshotBytes: it gets the last snapshot, and then up to three times its size in
// entries.
func TestEmptyHostsWithLargeStateReplaceLostIDsInTime(t *testing.T) {
	for _, further := range []int{0, 15, 30, 45} {
		t.Run(fmt.Sprint(further, " further commands"), func(t *testing.T) {
			cluster := newLossCluster(t, 6, 2)
			for number := range 25 {
				cluster.propose(cluster.leader(), fmt.Sprint("kept-", number, strings.Repeat("x", longLogCommandBytes)))
			}
			for range 25 + further {
				cluster.record(longLogCommandBytes)
			}
			leader := cluster.leader()
			t.Logf("snapshot of %d bytes, %d bytes applied since", leader.snapshotSize, leader.appliedBytes)
			cluster.slowDown()
			cluster.expectReplacedWithin(catchUpTicks, cluster.hostsExcept(1, cluster.leaderAddress()))
		})
	}
}
