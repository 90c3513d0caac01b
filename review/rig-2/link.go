package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// gate tells whether a path is cut. What is on its way during a cut is held up.
type gate struct{ cut atomic.Bool }

// proxy passes TCP connections on to an address. While its gate is cut, it passes nothing on in either direction.
type proxy struct {
	gate
	ln net.Listener
	to string
}

func newProxy(address, to string) (*proxy, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, to: to}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		nc, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.pass(nc)
	}
}

func (p *proxy) pass(nc net.Conn) {
	defer nc.Close()
	for p.cut.Load() { // the connection can't be established on the other side
		time.Sleep(5 * time.Millisecond)
	}
	up, err := net.DialTimeout("tcp4", p.to, time.Second)
	if err != nil {
		return
	}
	defer up.Close()
	var done sync.WaitGroup
	pump := func(to, from net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			for p.cut.Load() {
				time.Sleep(5 * time.Millisecond)
			}
			if n > 0 {
				if _, werr := to.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	done.Go(func() { pump(up, nc) })
	done.Go(func() { pump(nc, up) })
	done.Wait()
}

// network carries the datagrams between hosts. Each host sees each other one at an address of its own, behind which the network
// passes datagrams on, so that a path between two hosts can be cut in one direction.
type network struct {
	port    string
	hosts   []string // real addresses
	seen    [][]string
	sockets [][]*net.UDPConn
	cuts    [][]atomic.Bool
}

// newNetwork opens the addresses at which hosts see each other; seen[x][y] is the one of host y for host x.
func newNetwork(hosts []string, seen [][]string, port string) (*network, error) {
	n := &network{port: port, hosts: hosts, seen: seen}
	for x := range hosts {
		n.sockets = append(n.sockets, make([]*net.UDPConn, len(hosts)))
		n.cuts = append(n.cuts, make([]atomic.Bool, len(hosts)))
		for y := range hosts {
			if x == y {
				continue
			}
			addr, err := net.ResolveUDPAddr("udp4", net.JoinHostPort(seen[x][y], port))
			if err != nil {
				return nil, err
			}
			if n.sockets[x][y], err = net.ListenUDP("udp4", addr); err != nil {
				return nil, err
			}
		}
	}
	for x := range hosts {
		for y := range hosts {
			if x != y {
				go n.carry(x, y)
				p, err := newProxy(net.JoinHostPort(seen[x][y], port), net.JoinHostPort(hosts[y], port))
				if err != nil {
					return nil, err
				}
				go n.follow(&p.gate, x, y)
			}
		}
	}
	return n, nil
}

// carry passes on what host x sends to host y.
func (n *network) carry(x, y int) {
	to, err := net.ResolveUDPAddr("udp4", net.JoinHostPort(n.hosts[y], n.port))
	if err != nil {
		return
	}
	buf := make([]byte, 64<<10)
	for {
		size, _, err := n.sockets[x][y].ReadFromUDP(buf)
		if err != nil {
			return
		}
		if !n.cuts[x][y].Load() {
			_, _ = n.sockets[y][x].WriteToUDP(buf[:size], to)
		}
	}
}

// follow keeps a connection of host x to host y cut while either direction is.
func (n *network) follow(g *gate, x, y int) {
	for {
		g.cut.Store(n.cuts[x][y].Load() || n.cuts[y][x].Load())
		time.Sleep(5 * time.Millisecond)
	}
}
