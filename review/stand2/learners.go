package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// recoverTime is recover_s.
const recoverTime = 12 * time.Second

// loseDisk kills the processes of VMs, empties their disks and starts them again shortly afterwards.
func loseDisk(d *deployment, vms ...*vm) error {
	for _, v := range vms {
		d.rec.add("%s loses its disk", v.name)
		v.signal(9)
	}
	for _, v := range vms {
		v.kill()
		if err := os.RemoveAll(filepath.Join(d.dir, v.name, "data")); err != nil {
			return err
		}
	}
	time.Sleep(restartTime)
	for _, v := range vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// runLearners adds a sixth control VM, which loses its disk four times. Then two of the first five lose theirs, which is to be
// borne, and when both have been back for longer than catch_up_s, one more.
func runLearners(rec *record, trouble bool) (broken []string, err error) {
	d, err := newDeployment(rec, 1)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		return nil, err
	}
	put := func(version int) error {
		rec.add("the operator sends version %d", version)
		if err := d.putConfig(desiredState(version), 15*time.Second); err != nil {
			return err
		}
		rec.add("version %d is acknowledged", version)
		return nil
	}
	if err := put(7); err != nil {
		return nil, err
	}
	first := d.all(true)
	added := d.add("core-6", 6, true)
	if err := added.start(); err != nil {
		return nil, err
	}
	time.Sleep(catchUpTime + time.Second)
	lose := func(vms ...*vm) error {
		if !trouble {
			time.Sleep(restartTime)
			return nil
		}
		return loseDisk(d, vms...)
	}
	for range 4 {
		if err := lose(added); err != nil {
			return nil, err
		}
		time.Sleep(catchUpTime + time.Second)
	}
	if err := lose(first[0], first[1]); err != nil {
		return nil, err
	}
	time.Sleep(catchUpTime + time.Second)
	if err := put(12); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	if err := lose(first[2]); err != nil {
		return nil, err
	}
	time.Sleep(recoverTime)
	got, err := d.getConfig(recoverTime)
	switch {
	case err != nil:
		rec.add("reading the desired state: %v", err)
		broken = append(broken, fmt.Sprintf("version 12 was acknowledged; %s after the machines were back it isn't read for another %s", recoverTime, recoverTime))
	case !bytes.Equal(got, desiredState(12)):
		broken = append(broken, fmt.Sprintf("version 12 was acknowledged, but %.80s is read", got))
	default:
		rec.add("version 12 is read")
	}
	return broken, nil
}
