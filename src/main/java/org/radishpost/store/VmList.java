package org.radishpost.store;

import java.util.List;
import reactor.core.publisher.Mono;

/** The platform's list of live and leaving VMs of the system; it lags. */
public interface VmList {
  /**
   * Reads the whole list.
   *
   * @return the VMs; or {@link org.radishpost.errors.VmListUnavailableException}
   */
  Mono<List<VmEntry>> read();
}
