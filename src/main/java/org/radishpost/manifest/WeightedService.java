package org.radishpost.manifest;

import org.radishpost.lib.ServiceName;

/**
 * One of several services among which the calls of a route are split.
 *
 * @param service the service
 * @param weight the share of the calls, relative to the weights of the other services
 */
public record WeightedService(ServiceName service, double weight) {}
