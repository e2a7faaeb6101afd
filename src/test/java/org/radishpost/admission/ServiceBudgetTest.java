package org.radishpost.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.stream.IntStream;
import org.radishpost.lib.ServiceName;
import org.testng.annotations.Test;

/** Tests that the budgets of all VMs together stay within the limit of the service. */
public class ServiceBudgetTest {
  private static final ServiceName SERVICE = new ServiceName("s");

  private static long acquiredRetries(ServiceBudget budget, int calls) {
    return IntStream.range(0, calls)
        .filter(
            i -> {
              budget.recordCall(SERVICE);
              return budget.tryAcquire(SERVICE);
            })
        .count();
  }

  @Test
  public void retriesOfAllVmsStayWithinTheServiceBudget() {
    int vms = 22;
    int callsPerVm = 60;
    double ratio = 0.2;
    double slackRetries = 60;
    long total =
        IntStream.range(0, vms)
            .mapToLong(i -> acquiredRetries(new ServiceBudget(() -> 0.15, 1.5), callsPerVm))
            .sum();
    assertTrue(total <= ratio * vms * callsPerVm + slackRetries, "retries: " + total);
  }

  @Test
  public void savedRetriesAreBounded() {
    ServiceBudget budget = new ServiceBudget(() -> 0.15, 1.5);
    for (int i = 0; i < 1_000; i++) {
      budget.recordCall(SERVICE);
    }
    assertTrue(budget.tryAcquire(SERVICE));
    assertEquals(budget.tryAcquire(SERVICE), false);
  }

  @Test
  public void eachServiceHasItsOwnBudget() {
    ServiceBudget budget = new ServiceBudget(() -> 0, 1);
    assertTrue(budget.tryAcquire(SERVICE));
    assertTrue(budget.tryAcquire(new ServiceName("other")));
    assertEquals(budget.tryAcquire(SERVICE), false);
  }
}
