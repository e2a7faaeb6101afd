package org.radishpost.store;

import java.util.List;
import reactor.core.publisher.Mono;

/**
 * The platform's list of the live and leaving VMs of the system. The list lags behind the actual
 * state.
 */
public interface VmList {
  /**
   * Reads the complete list.
   *
   * @return the VMs; fails with {@link org.radishpost.errors.VmListUnavailableException} if the
   *     list could not be read
   */
  Mono<List<VmEntry>> read();
}
