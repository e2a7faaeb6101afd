package org.radishpost.suspects;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.radishpost.lib.Digest;
import org.radishpost.lib.VmId;
import org.testng.annotations.Test;

/** Tests how crashes are counted over all VMs. */
public class SuspectRegistryTest {
  private static final Digest CRASHING_REQUEST = Digest.of("killer");
  private static final VmId OTHER_VM = new VmId("vm-2");

  @Test
  public void threeCrashesOverAllVmsBlockTheRequestAndRepeatedMessagesDoNotCount() {
    SuspectRegistry registry =
        new SuspectRegistry(new VmId("vm-1"), (regions, fingerprint, points) -> {});
    registry.recordCrash(Set.of(), CRASHING_REQUEST, 1, 0);
    for (int i = 0; i < 5; i++) {
      registry.merge(OTHER_VM, CRASHING_REQUEST, SuspectRegistry.POINTS_PER_CRASH, 0);
    }
    assertFalse(registry.isBlocked(CRASHING_REQUEST, 0));
    registry.merge(OTHER_VM, CRASHING_REQUEST, 2 * SuspectRegistry.POINTS_PER_CRASH, 0);
    assertTrue(registry.isBlocked(CRASHING_REQUEST, 0));
    assertFalse(registry.isBlocked(CRASHING_REQUEST, SuspectRegistry.SUSPECT_EXPIRY_NANOS));
  }

  @Test
  public void completeResponseClearsTheRequest() {
    SuspectRegistry registry =
        new SuspectRegistry(new VmId("vm-1"), (regions, fingerprint, points) -> {});
    registry.merge(OTHER_VM, CRASHING_REQUEST, 3 * SuspectRegistry.POINTS_PER_CRASH, 0);
    registry.recordResponse(CRASHING_REQUEST);
    assertFalse(registry.isBlocked(CRASHING_REQUEST, 0));
  }

  @Test
  public void numberOfSuspectsIsBounded() {
    SuspectRegistry registry =
        new SuspectRegistry(new VmId("vm-1"), (regions, fingerprint, points) -> {});
    for (int i = 0; i < SuspectRegistry.MAX_SUSPECTS + 10; i++) {
      registry.recordCrash(Set.of(), Digest.of("request " + i), 1, 0);
    }
    assertEquals(registry.size(), SuspectRegistry.MAX_SUSPECTS);
  }
}
