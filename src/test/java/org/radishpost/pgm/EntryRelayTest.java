package org.radishpost.pgm;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.radishpost.lib.Endpoint;
import org.radishpost.node.EntryNode;
import org.radishpost.standin.StoreFault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Two complete entries over sockets, one of which follows the other as its relay. */
public class EntryRelayTest {
  private static final int RELAY = 0;
  private static final int FOLLOWER = 1;
  private static final int NOT_FOUND = 404;

  private EntryDeployment deployment;

  /** Starts a relay and an entry that follows it. */
  @BeforeMethod
  public void start() throws Exception {
    deployment = new EntryDeployment(2, 1, 1);
    while (!follower().isFollowingRelay()) {
      Thread.onSpinWait();
    }
    awaitServed(1);
  }

  /** Stops the entries and the stand-ins. */
  @AfterMethod
  public void stop() {
    deployment.close();
  }

  private EntryNode follower() {
    return deployment.entries().get(FOLLOWER);
  }

  private void awaitServed(int version) throws Exception {
    while (!deployment.serves(FOLLOWER, version)) {
      Thread.onSpinWait();
    }
  }

  @Test
  public void changesReachTheFollowerThroughTheRelay() throws Exception {
    deployment.publish(2);
    awaitServed(2);
    assertEquals(deployment.status(FOLLOWER, 1), NOT_FOUND);
    assertTrue(follower().isFollowingRelay());
  }

  @Test
  public void followerReadsTheStoreWhenTheRelayStops() throws Exception {
    deployment.entries().get(RELAY).stop().block();
    deployment.publish(2);
    awaitServed(2);
    assertFalse(follower().isFollowingRelay());
  }

  /** The store refuses the new entry from the beginning; the relay has all data that it needs. */
  @Test
  public void entryStartsFromTheRelayWhenTheStoreRefuses() throws Exception {
    Endpoint refusing = deployment.serveStoreWithFault(new StoreFault.ErrorResponse(503));
    deployment.replaceEntry(FOLLOWER, refusing);
    awaitServed(1);
    deployment.publish(2);
    awaitServed(2);
  }

  /** The store refuses the relay; the follower must leave the relay instead of waiting for it. */
  @Test
  public void followerIsNotAffectedByTheRelaysOutage() throws Exception {
    deployment.storeServer().setFault(new StoreFault.ErrorResponse(503));
    while (follower().isFollowingRelay()) {
      Thread.onSpinWait();
    }
    deployment.storeServer().setFault(new StoreFault.None());
    deployment.publish(2);
    awaitServed(2);
  }
}
