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
  public void threeCrashesOverAllVmsBlockTheRequestAndRepeatedMessagesDoNotCount() {
    SuspectRegistry registry = new SuspectRegistry(new VmId("vm-1"), (regions, f, points) -> {});
    registry.recordCrash(Set.of(), KILLER, 1, 0);
    for (int i = 0; i < 5; i++) {
      registry.merge(OTHER, KILLER, SuspectRegistry.POINTS_PER_CRASH, 0);
    }
    assertFalse(registry.isBlocked(KILLER, 0));
    registry.merge(OTHER, KILLER, 2 * SuspectRegistry.POINTS_PER_CRASH, 0);
    assertTrue(registry.isBlocked(KILLER, 0));
    assertFalse(registry.isBlocked(KILLER, SuspectRegistry.SUSPECT_EXPIRY_NANOS));
  }

  @Test
  public void completeResponseClearsTheRequest() {
    SuspectRegistry registry = new SuspectRegistry(new VmId("vm-1"), (regions, f, points) -> {});
    registry.merge(OTHER, KILLER, 3 * SuspectRegistry.POINTS_PER_CRASH, 0);
    registry.recordResponse(KILLER);
    assertFalse(registry.isBlocked(KILLER, 0));
  }

  @Test
  public void numberOfSuspectsIsBounded() {
    SuspectRegistry registry = new SuspectRegistry(new VmId("vm-1"), (regions, f, points) -> {});
    for (int i = 0; i < SuspectRegistry.MAX_SUSPECTS + 10; i++) {
      registry.recordCrash(Set.of(), Digest.of("request " + i), 1, 0);
    }
    assertEquals(registry.size(), SuspectRegistry.MAX_SUSPECTS);
  }
}
