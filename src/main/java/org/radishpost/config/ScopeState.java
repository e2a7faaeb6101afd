package org.radishpost.config;

/**
 * The last accepted change of one scope.
 *
 * @param outOfService whether the scope is out of service
 * @param version the version of the change
 */
public record ScopeState(boolean outOfService, long version) {}
