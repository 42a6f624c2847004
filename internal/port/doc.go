// Package port defines the interfaces between the core logic and the outside:
// disks, the messages between replicas, and the platform that runs the hosts.
package port
