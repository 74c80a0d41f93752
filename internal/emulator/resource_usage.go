package emulator

import "time"

// ResourceUsage is the resource usage of a proxy in a scenario, as the mean over all proxies.
type ResourceUsage struct {
	CPU               time.Duration
	MemoryMB          float64 // peak
	Descriptors       float64 // peak
	ConnsToNodes      float64 // connections opened to caches and the origin
	ListBytes         float64 // bytes received from discovery
	CompletedFraction float64 // fraction of the requests that completed
}

// recordResourceUsage updates the peak usage of a proxy from one measurement.
func (m *managedProxy) recordResourceUsage(memoryMB float64, descriptors int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peakMemoryMB = max(m.peakMemoryMB, memoryMB)
	m.peakDescriptors = max(m.peakDescriptors, descriptors)
}

// measureResourceUsage returns the mean resource usage of the proxies. It must be called after all processes have ended.
func (r *runner) measureResourceUsage() ResourceUsage {
	var usage ResourceUsage
	for i, m := range r.proxies {
		usage.MemoryMB += m.peakMemoryMB
		usage.Descriptors += float64(m.peakDescriptors)
		usage.ListBytes += float64(r.discoveries[i].BytesSent.Load())
	}
	usage.CPU = time.Duration(r.proxyCPU.Load())
	usage.ConnsToNodes = float64(r.cluster.connections.Load())
	proxies := len(r.proxies)
	usage.CPU /= time.Duration(proxies)
	for _, sum := range []*float64{&usage.MemoryMB, &usage.Descriptors, &usage.ListBytes, &usage.ConnsToNodes} {
		*sum /= float64(proxies)
	}
	completed := 0
	for i := range r.load.results {
		if r.load.results[i].Outcome == Completed {
			completed++
		}
	}
	usage.CompletedFraction = float64(completed) / float64(max(len(r.plan.Requests), 1))
	return usage
}

// WithNodes returns a copy of the scenario with another number of caches. Their total capacity is unchanged, and faults
// affect the same fraction of them.
func (d *Scenario) WithNodes(nodes int) *Scenario {
	scaled, factor := *d, float64(nodes)/float64(d.Fleet.Nodes)
	scaled.Fleet.Nodes = nodes
	scaled.Fleet.ServiceMS *= factor
	scaled.Faults = nil
	for _, fault := range d.Faults {
		if !proxyFaults[fault.Kind] && fault.Kind != "slow-clients" && fault.Kind != "flood" && fault.Kind != "whisper" {
			fault.Count = int(float64(fault.Count) * factor)
		}
		scaled.Faults = append(scaled.Faults, fault)
	}
	return &scaled
}
