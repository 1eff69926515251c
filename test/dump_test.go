package test

import "os/exec"

// dump returns the last lines of each log and a listing of the data folders, for the
// message of a failed test.
func (f *fleet) dump() string {
	out, _ := exec.Command("sh", "-c", "tail -n 12 "+f.folder+"/*.log; ls -la "+f.folder+"/*.data").CombinedOutput()
	return string(out)
}
