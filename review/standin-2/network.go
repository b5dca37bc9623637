package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// network is the links between the machines of a run. One place, which is a zone or a machine, can be cut off from the
// others: what is sent over the cut is sent again, as TCP does it, at increasing intervals, and arrives with the first
// of these attempts after the cut. It is lost if its sender resets the connection first.
type network struct {
	platform *platform
	// onSend is called with the first bytes of each message of a core process to a replica. It may be nil.
	onSend func(fromPlace, toPlace string, data []byte)

	mu            sync.Mutex
	place         string
	cutAt, healAt time.Time
}

// firstResend is the shortest time after which Linux sends a segment again. It doubles with each attempt.
const firstResend = 200 * time.Millisecond

// lookups limits the looks for the process that has opened a connection.
const lookups = 20

// cut cuts a place off for a time.
func (n *network) cut(place string, length time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.place, n.cutAt = place, time.Now()
	n.healAt = n.cutAt.Add(length)
}

// state returns the place that was cut off, "" if there was none yet, and when the cut begins and ends.
func (n *network) state() (place string, cutAt, healAt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.place, n.cutAt, n.healAt
}

// arrival returns when what is sent now from one place to another arrives.
func (n *network) arrival(from, to string) time.Time {
	now := time.Now()
	place, _, healAt := n.state()
	if place == "" || now.After(healAt) || (from == place) == (to == place) {
		return now
	}
	at := now
	for interval := firstResend; at.Before(healAt); interval *= 2 {
		at = at.Add(interval)
	}
	return at
}

// reaches reports whether one place reaches another now.
func (n *network) reaches(from, to string) bool { return !n.arrival(from, to).After(time.Now()) }

// link starts a proxy in front of an address in a place. It runs until the process ends.
func (n *network) link(listen, target, place string, toReplica bool) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.handle(conn.(*net.TCPConn), target, place, toReplica)
		}
	}()
	return nil
}

// handle passes the data of one connection on.
func (n *network) handle(client *net.TCPConn, target, place string, toReplica bool) {
	// The files of a process are not listed at one moment, so a single look may miss a socket.
	from := ""
	for try := 0; from == "" && try < lookups; try++ {
		from = n.platform.placeOf(client.RemoteAddr().String())
	}
	if from == "" {
		_ = client.Close()
		return
	}
	// The packet that opens the connection is subject to the cut as well.
	time.Sleep(time.Until(n.arrival(from, place)))
	conn, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	server := conn.(*net.TCPConn)
	var pipes sync.WaitGroup
	pipes.Go(func() { n.pipe(client, server, from, place, toReplica) })
	pipes.Go(func() { n.pipe(server, client, place, from, false) })
	pipes.Wait()
	_ = client.Close()
	_ = server.Close()
}

// pipe passes the data of one direction on until its sender ends it.
func (n *network) pipe(from, to *net.TCPConn, fromPlace, toPlace string, observed bool) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		data := bytes.Clone(buffer[:count])
		if count > 0 && observed && n.onSend != nil {
			n.onSend(fromPlace, toPlace, data)
		}
		if at := n.arrival(fromPlace, toPlace); at.After(time.Now()) {
			time.Sleep(time.Until(at))
			if err == nil {
				data, err = pending(from, data)
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			// The sender has reset the connection: what has not arrived is lost.
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
		if _, writeErr := to.Write(data); writeErr != nil {
			_ = from.SetLinger(0)
			_ = from.Close()
			return
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// pending adds what a sender has sent meanwhile to data. The error is that of the sender's end, if it has ended.
func pending(from *net.TCPConn, data []byte) ([]byte, error) {
	buffer := make([]byte, 64<<10)
	defer func() { _ = from.SetReadDeadline(time.Time{}) }()
	for {
		if err := from.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
			return data, err
		}
		n, err := from.Read(buffer)
		data = append(data, buffer[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// placeOf returns the place of the process of the platform that has opened a connection from an address, "" if none
// has.
func (p *platform) placeOf(address string) string {
	inode := socketInode(address)
	if inode == "" {
		return ""
	}
	for _, m := range p.machines {
		m.mu.Lock()
		command := m.command
		m.mu.Unlock()
		if command == nil {
			continue
		}
		folder := fmt.Sprintf("/proc/%d/fd", command.Process.Pid)
		files, _ := os.ReadDir(folder)
		for _, f := range files {
			if link, err := os.Readlink(folder + "/" + f.Name()); err == nil && link == "socket:["+inode+"]" {
				return m.placed()
			}
		}
	}
	return ""
}

// socketInode returns the inode of the TCP socket with a local address, "" if there is none.
func socketInode(address string) string {
	parsed, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return ""
	}
	ip := parsed.IP.To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], parsed.Port)
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == local {
			return fields[9]
		}
	}
	return ""
}
