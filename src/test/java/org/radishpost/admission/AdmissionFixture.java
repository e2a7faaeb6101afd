package org.radishpost.admission;

import java.util.Optional;
import java.util.Set;
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.RequestKind;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.TenantName;

/** Test data shared by the admission tests. */
final class AdmissionFixture {
  private AdmissionFixture() {}

  static CallInfo call(long id, String tenant, int weight, boolean idempotent, long deadlineNanos) {
    return new CallInfo(
        new CallId(id),
        new GatewayName("grain"),
        "read",
        new ServiceName("lookup"),
        new TenantName(tenant),
        RequestKind.READ,
        weight,
        idempotent,
        deadlineNanos,
        0,
        Set.of(),
        Optional.empty(),
        0);
  }
}
