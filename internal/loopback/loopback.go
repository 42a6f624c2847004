// Package loopback gives servers in tests addresses of their own on loopback.
//
// A port of 127.0.0.1 that was free a moment ago can be taken by an outgoing
// connection or another server before its process listens on it. Outgoing
// connections have the source address 127.0.0.1, so that no port of another address
// is taken by one.
//
// # Usage
//
//	host, err := loopback.Reserve()
//	listener, err := net.Listen("tcp", net.JoinHostPort(host, "7401"))
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// The addresses from 127.1.0.0 to 127.254.255.255 are tried.
const (
	firstAddress = 127<<24 | 1<<16
	addressCount = 254 << 16
)

// reservationPort is the port whose listener marks an address as reserved. Servers
// use other ports.
const reservationPort = 7400

// reservations are the listeners of this process. They are closed when it ends.
var (
	reservationLock sync.Mutex
	reservations    []net.Listener
)

// Reserve returns an IP address that neither this process nor another process has
// reserved. The reservation ends with the process.
func Reserve() (string, error) {
	reservationLock.Lock()
	defer reservationLock.Unlock()
	// Processes begin far from each other, so that few addresses are tried twice.
	begin := os.Getpid() << 8
	for offset := range addressCount {
		address := addressAt(begin + offset)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, reservationPort))
		if err == nil {
			reservations = append(reservations, listener)
			return address, nil
		}
	}
	return "", fmt.Errorf("no address of loopback is free at port %d; end processes that listen on it on all addresses", reservationPort)
}

func addressAt(number int) string {
	address := firstAddress + number%addressCount
	return fmt.Sprintf("%d.%d.%d.%d", address>>24, address>>16&0xff, address>>8&0xff, address&0xff)
}
