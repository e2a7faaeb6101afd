package org.radishpost.standin;

/**
 * The statistics of a target stand-in since its start, over all incarnations.
 *
 * @param running the calls that are currently running
 * @param waiting the calls that are currently waiting for a slot
 * @param maxRunning the maximum number of calls that ran concurrently
 * @param runs the calls that started to run
 * @param sheds the calls that were shed
 * @param cancels the calls that were cancelled during their execution
 * @param late the calls whose deadline passed during their execution
 * @param crashes the number of crashes
 * @param coldCrashes the crashes caused by too many calls while the target was cold
 * @param probes the requests to the load endpoint
 * @param runsWhileDraining the calls that started to run while load reports announced that the
 *     target was draining
 * @param connections the currently open connections
 * @param maxConnections the maximum number of connections open at the same time
 * @param refusedConnections the connections closed because they exceeded the maximum
 */
public record TargetStats(
    int running,
    int waiting,
    int maxRunning,
    long runs,
    long sheds,
    long cancels,
    long late,
    long crashes,
    long coldCrashes,
    long probes,
    long runsWhileDraining,
    int connections,
    int maxConnections,
    long refusedConnections) {}
