package org.radishpost.config;

/**
 * A zone, region or VM that operators take out of service or put back into service.
 *
 * @param kind the kind of the scope
 * @param name the name of the zone or region, or the ID of the VM
 */
public record Scope(Kind kind, String name) {
  /** The kind of a scope. */
  public enum Kind {
    /** An availability zone. */
    ZONE,
    /** A region. */
    REGION,
    /** A VM of the load balancer. */
    VM
  }
}
