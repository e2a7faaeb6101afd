package org.radishpost.node;

import org.radishpost.config.ConfigFreshness;
import org.radishpost.http.Readiness;
import org.radishpost.store.VmEntry;

/**
 * The readiness of this VM: it is ready when its configuration is up to date, it is in service and
 * it is not stopping.
 */
final class NodeReadiness implements Readiness {
  private final VmEntry self;
  private final ConfigReplicaService config;
  private volatile boolean stopping;

  /**
   * Creates the readiness of a VM that is not stopping.
   *
   * @param self this VM
   * @param config the source of the current configuration
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
      return "The VM is shutting down: use another entry.";
    }
    if (!servesRequests()) {
      return "The VM has not read the configuration yet: use another entry for now.";
    }
    if (!inService()) {
      return "Operators took the VM or its zone out of service: use another entry.";
    }
    if (config.freshness().state() == ConfigFreshness.State.ISOLATED) {
      return "The log and all other VMs have long been unreachable: check the VM's network.";
    }
    return "";
  }

  private boolean inService() {
    return config.current().inService(self.id(), self.place());
  }
}
