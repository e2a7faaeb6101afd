package org.radishpost.config;

/**
 * What operators take in and out of service.
 *
 * @param kind the kind
 * @param name the name of the zone or region, or the identity of the VM
 */
public record Scope(Kind kind, String name) {
  /** The kinds of things that go in and out of service. */
  public enum Kind {
    /** An availability zone. */
    ZONE,
    /** A region. */
    REGION,
    /** A VM of the system. */
    VM
  }
}
