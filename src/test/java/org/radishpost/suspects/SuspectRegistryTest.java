package org.radishpost.suspects;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.radishpost.lib.Digest;
import org.radishpost.lib.VmId;
import org.testng.annotations.Test;

/** How requests that crash targets are counted over all VMs. */
public class SuspectRegistryTest {
  private static final Digest KILLER = Digest.of("killer");
  private static final VmId OTHER = new VmId("vm-2");

  @Test
  public void threeCrashesOverAllVmsCondemnAndRepeatsDoNotCount() {
    SuspectRegistry registry = new SuspectRegistry(new VmId("vm-1"), (regions, f, points) -> {});
    registry.crashed(Set.of(), KILLER, 1, 0);
    for (int i = 0; i < 5; i++) {
      registry.merge(OTHER, KILLER, SuspectRegistry.CRASH_POINTS, 0);
    }
    assertFalse(registry.condemned(KILLER, 0));
    registry.merge(OTHER, KILLER, 2 * SuspectRegistry.CRASH_POINTS, 0);
    assertTrue(registry.condemned(KILLER, 0));
    assertFalse(registry.condemned(KILLER, SuspectRegistry.FORGET_NANOS));
  }

  @Test
  public void fullAnswerClears() {
    SuspectRegistry registry = new SuspectRegistry(new VmId("vm-1"), (regions, f, points) -> {});
    registry.merge(OTHER, KILLER, 3 * SuspectRegistry.CRASH_POINTS, 0);
    registry.answered(KILLER);
    assertFalse(registry.condemned(KILLER, 0));
  }

  @Test
  public void memoryIsBounded() {
    SuspectRegistry registry = new SuspectRegistry(new VmId("vm-1"), (regions, f, points) -> {});
    for (int i = 0; i < SuspectRegistry.MAX_SUSPECTS + 10; i++) {
      registry.crashed(Set.of(), Digest.of("request " + i), 1, 0);
    }
    assertEquals(registry.size(), SuspectRegistry.MAX_SUSPECTS);
  }
}
