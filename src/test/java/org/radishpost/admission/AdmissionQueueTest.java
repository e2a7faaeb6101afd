package org.radishpost.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.radishpost.lib.CallInfo;
import org.testng.annotations.Test;

/** Tests the fairness, the bound and the deadlines of the queue. */
public class AdmissionQueueTest {
  private final AdmissionQueue queue = new AdmissionQueue();
  private final List<CallInfo> evicted = new ArrayList<>();
  private long nextId;

  @Test
  public void floodOfOneTenantDelaysAnotherByOneCallOnly() {
    add("flood", 1, 100, 100);
    add("calm", 1, 3, 100);
    List<String> order = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      order.add(queue.poll().orElseThrow().tenant().value());
    }
    assertEquals(order, List.of("calm", "flood", "calm", "flood", "calm", "flood"));
    assertTrue(evicted.stream().allMatch(call -> call.tenant().value().equals("flood")));
    queue.drain(call -> {});
  }

  @Test
  public void lightestCallOfTheTenantWithTheLongestQueueIsEvicted() {
    evicted.clear();
    add("a", 1, 2, 5);
    add("b", 9, 2, 5);
    add("a", 3, 2, 5);
    assertEquals(evicted.stream().map(CallInfo::weight).toList(), List.of(1));
    queue.drain(call -> {});
  }

  @Test
  public void callsThatCannotMeetTheirDeadlineExpire() {
    List<CallInfo> expired = new ArrayList<>();
    queue.add(AdmissionFixture.call(500, "a", 1, true, 1_000), 10, evicted::add);
    queue.add(AdmissionFixture.call(501, "a", 1, true, 2_000), 10, evicted::add);
    queue.expire(600, 500, expired::add);
    assertEquals(expired.stream().map(call -> call.id().value()).toList(), List.of(500L));
    assertEquals(queue.size(), 1);
    queue.drain(call -> {});
  }

  private void add(String tenant, int weight, int calls, int maxQueuedCalls) {
    for (int i = 0; i < calls; i++) {
      CallInfo call = AdmissionFixture.call(nextId++, tenant, weight, true, Long.MAX_VALUE);
      queue.add(call, maxQueuedCalls, evicted::add);
    }
  }
}
