package org.radishpost.manifest;

import org.radishpost.lib.ServiceName;

/**
 * One part of a route whose calls are split over several services.
 *
 * @param service the service
 * @param weight its share of the calls, relative to the other parts
 */
public record WeightedService(ServiceName service, double weight) {}
