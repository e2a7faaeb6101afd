package org.radishpost.config;

import org.radishpost.manifest.Manifest;

/** A configuration change requested by an operator or a deployment pipeline. */
public sealed interface ConfigChange {
  /**
   * Publishes a manifest, which replaces the current manifest of its gateway.
   *
   * @param manifest the new manifest, with the version that it replaces
   */
  record Publish(Manifest manifest) implements ConfigChange {}

  /**
   * Takes a zone, region or VM out of service or puts it back into service.
   *
   * <p>Operation IDs on the log contain a digest of the text form of this record. Renaming the
   * record or its components would give a repeated operation a different ID.
   *
   * @param scope the zone, region or VM
   * @param out true to take the scope out of service, false to put it back
   * @param baseVersion the version of the scope's last change that the operator knew, 0 for none,
   *     or -1 to apply the change regardless of the current version
   */
  record SetService(Scope scope, boolean out, long baseVersion) implements ConfigChange {}
}
