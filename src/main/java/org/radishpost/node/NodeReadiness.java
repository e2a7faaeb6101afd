package org.radishpost.node;

import org.radishpost.config.ConfigFreshness;
import org.radishpost.http.Readiness;
import org.radishpost.store.VmEntry;

/** Whether this VM takes callers' requests: it must know a configuration and be in service. */
final class NodeReadiness implements Readiness {
  private final VmEntry self;
  private final ConfigReplicaService config;
  private volatile boolean stopping;

  /**
   * Creates a state that is not stopping.
   *
   * @param self this VM
   * @param config the configuration in force
   */
  NodeReadiness(VmEntry self, ConfigReplicaService config) {
    this.self = self;
    this.config = config;
  }

  void markStopping() {
    stopping = true;
  }

  @Override
  public boolean ready() {
    return notReadyReason().isEmpty();
  }

  @Override
  public boolean servesRequests() {
    return config.current().version() > 0 && config.caughtUp();
  }

  @Override
  public boolean allowsKeepAlive() {
    return !stopping && inService();
  }

  @Override
  public String notReadyReason() {
    if (stopping) {
      return "The VM is about to stop: use another entry.";
    }
    if (!servesRequests()) {
      return "The VM has not read the configuration yet: use another entry for now.";
    }
    if (!inService()) {
      return "Operators took the VM or its zone out: use another entry.";
    }
    if (config.freshness().state() == ConfigFreshness.State.ISOLATED) {
      return "Neither the log nor another VM has been heard for long: check the VM's network.";
    }
    return "";
  }

  private boolean inService() {
    return config.current().inService(self.id(), self.place());
  }
}
