package org.radishpost.config;

import org.radishpost.manifest.Manifest;

/** One change that an operator or a pipeline wants. */
public sealed interface ConfigChange {
  /**
   * A manifest to be put in force.
   *
   * @param manifest the manifest, with the version that it replaces
   */
  record Publish(Manifest manifest) implements ConfigChange {}

  /**
   * A zone, a region or a VM to be taken out of service or back in.
   *
   * @param scope what is meant
   * @param outOfService true for out, false for in
   * @param baseVersion the version of the scope's last change that the operator saw, 0 for none, or
   *     -1 to overrule whatever stands
   */
  record SetServiceState(Scope scope, boolean outOfService, long baseVersion)
      implements ConfigChange {}
}
