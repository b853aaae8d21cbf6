BEGIN TRANSACTION;
CREATE TABLE accounts (
    id integer primary key, tenant text not null, function text not null, cause text not null,
    unique (tenant, function, cause)
);
INSERT INTO "accounts" VALUES(1,'tills','price','');
INSERT INTO "accounts" VALUES(2,'trade','reserve','estimated');
CREATE TABLE days (
    day integer not null, account integer not null, kind text not null, best integer not null,
    least integer not null, most integer not null, primary key (day, account, kind)
) without rowid;
INSERT INTO "days" VALUES(1796515200000000,1,'closed',201,101,401);
INSERT INTO "days" VALUES(1796515200000000,1,'correction',201,101,401);
CREATE TABLE gaps (
    hour integer not null, source text not null, cause text not null, most integer not null,
    primary key (hour, source, cause)
) without rowid;
INSERT INTO "gaps" VALUES(1800000000000000,'front end 6','front end down',88);
INSERT INTO "gaps" VALUES(1800000000000000,'worker-3 started 5','silent',77000000);
CREATE TABLE lines (
    hour integer not null, account integer not null, kind text not null, best integer not null,
    least integer not null, most integer not null, at integer not null
);
INSERT INTO "lines" VALUES(1799996400000000,1,'closed',2999999997,2999999998,3000000005,1800000000000300);
INSERT INTO "lines" VALUES(1799996400000000,1,'correction',3,2,-5,1800000000000400);
INSERT INTO "lines" VALUES(1799996400000000,2,'closed',9,8,10,1800000000000301);
CREATE TABLE lives (
    worker text not null, started integer not null, heard integer not null, memory_mb integer not null,
    change integer not null, forgotten_mb_us integer not null, draining integer not null,
    primary key (worker, started)
) without rowid;
INSERT INTO "lives" VALUES('worker-1',1799996400000002,1800000901000000,8192,7,13,1);
INSERT INTO "lives" VALUES('worker-2',1800000000000001,1800000061000000,4096,0,0,0);
CREATE TABLE seen (
    run integer not null, hour integer not null, worker text not null, function text not null,
    tenant text not null, best integer not null, least integer not null, most integer not null,
    primary key (hour, worker, function, tenant, run)
) without rowid;
INSERT INTO "seen" VALUES(1799999999999995,1799996400000000,'worker-4','reserve','trade',9,8,10);
INSERT INTO "seen" VALUES(1799999999999995,1800000000000000,'worker-4','reserve','tills',30000000,20000000,40000000);
CREATE TABLE slices (
    worker text not null, started integer not null, copy integer not null, hour integer not null,
    function text not null, memory_mb integer not null, heard integer not null, ended integer not null,
    loading integer not null, unused integer not null, runs text not null, after text not null, first text,
    doubts text not null, primary key (hour, worker, started, copy)
) without rowid;
INSERT INTO "slices" VALUES('worker-1',1799996400000002,3,1799996400000000,'price',600,1800000000000000,1,0,0,'{"tills":5000000}','{}','trade','[]');
INSERT INTO "slices" VALUES('worker-1',1799996400000002,3,1800000000000000,'price',600,1800000900000000,1,8000000,9000000,'{"tills":10000000,"":11000000}','{"trade":12000000}','trade','["a counter went down"]');
INSERT INTO "slices" VALUES('worker-2',1800000000000001,4,1800000000000000,'reserve',300,1800000060000000,0,0,0,'{}','{}',NULL,'[]');
CREATE TABLE state (name text primary key, value integer not null) without rowid;
INSERT INTO "state" VALUES('at risk',1234);
INSERT INTO "state" VALUES('closed to',1800000000000000);
INSERT INTO "state" VALUES('dropped before',1799992800000000);
INSERT INTO "state" VALUES('run',1799999999999995);
INSERT INTO "state" VALUES('run at',1800000950000000);
INSERT INTO "state" VALUES('serial',2);
CREATE INDEX lines_by_hour on lines (hour);
COMMIT;
