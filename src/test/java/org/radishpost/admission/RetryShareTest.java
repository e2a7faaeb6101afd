package org.radishpost.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.stream.IntStream;
import org.radishpost.lib.ServiceName;
import org.testng.annotations.Test;

/** Shares that are safe without knowing the other VMs. */
public class RetryShareTest {
  private static final ServiceName SERVICE = new ServiceName("s");

  private static long taken(RetryShare share, int calls) {
    return IntStream.range(0, calls)
        .filter(
            i -> {
              share.called(SERVICE);
              return share.take(SERVICE);
            })
        .count();
  }

  @Test
  public void allTogetherStayWithinTheBudget() {
    int vms = 22;
    int callsPerVm = 60;
    double ratio = 0.2;
    double slack = 60;
    long total =
        IntStream.range(0, vms)
            .mapToLong(i -> taken(new RetryShare(() -> 0.15, 1.5), callsPerVm))
            .sum();
    assertTrue(total <= ratio * vms * callsPerVm + slack, "retries: " + total);
  }

  @Test
  public void reserveIsBounded() {
    RetryShare share = new RetryShare(() -> 0.15, 1.5);
    for (int i = 0; i < 1_000; i++) {
      share.called(SERVICE);
    }
    assertTrue(share.take(SERVICE));
    assertEquals(share.take(SERVICE), false);
  }

  @Test
  public void servicesHaveSharesOfTheirOwn() {
    RetryShare share = new RetryShare(() -> 0, 1);
    assertTrue(share.take(SERVICE));
    assertTrue(share.take(new ServiceName("other")));
    assertEquals(share.take(SERVICE), false);
  }
}
