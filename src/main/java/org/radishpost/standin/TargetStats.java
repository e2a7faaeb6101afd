package org.radishpost.standin;

/**
 * What a target stand-in has counted since its start, over all its incarnations.
 *
 * @param running the calls that run now
 * @param waiting the calls that wait for a slot now
 * @param maxRunning the most calls that ran at once
 * @param runs the calls that began to run
 * @param sheds the calls that were shed
 * @param cancels the calls whose caller went away while they waited or ran
 * @param late the calls that passed their deadline while they ran
 * @param crashes the crashes
 * @param coldCrashes the crashes from too many calls while cold
 * @param probes the requests to the load endpoint
 * @param runsWhileDraining the calls that began to run while its reports said that it drains
 * @param connections the connections open now
 * @param maxConnections the most connections that were open at once
 * @param refusedConnections the connections closed because there were too many
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
