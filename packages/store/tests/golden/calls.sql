BEGIN TRANSACTION;
CREATE TABLE executions (
    id text primary key, name text not null, function text not null, version text not null, tenant text,
    payload blob not null, digest text not null, accepted_at integer not null, expires_at integer not null,
    intended integer not null, status text not null, ended_at integer not null, result blob,
    error_type text not null, error_message text not null
);
INSERT INTO "executions" VALUES('id-open','name-open','price','4','tills',X'7B226F70656E223A00FF7D','digest-open',1800000000000001,1800000060000000,0,'RUNNING',0,NULL,'','');
INSERT INTO "executions" VALUES('id-intended','name-intended','price','4',NULL,X'7B226F70656E223A00FF7D','digest-open',1800000000000001,1800000050000000,1,'RUNNING',0,NULL,'','');
INSERT INTO "executions" VALUES('id-SUCCEEDED','name-SUCCEEDED','price','4','tills',X'7B226F70656E223A00FF7D','digest-open',1800000000000010,1800000060000000,1,'SUCCEEDED',1800000000000100,X'726573756C7400','','');
INSERT INTO "executions" VALUES('id-FAILED','name-FAILED','price','4','tills',X'7B226F70656E223A00FF7D','digest-open',1800000000000011,1800000060000000,1,'FAILED',1800000000000101,NULL,'Type.FAILED','message of FAILED');
INSERT INTO "executions" VALUES('id-TIMED_OUT','name-TIMED_OUT','price','4','tills',X'7B226F70656E223A00FF7D','digest-open',1800000000000012,1800000060000000,1,'TIMED_OUT',1800000000000102,NULL,'Type.TIMED_OUT','message of TIMED_OUT');
INSERT INTO "executions" VALUES('id-STOPPED','name-STOPPED','price','4','tills',X'7B226F70656E223A00FF7D','digest-open',1800000000000013,1800000060000000,1,'STOPPED',1800000000000103,NULL,'Type.STOPPED','message of STOPPED');
INSERT INTO "executions" VALUES('id-fired','cron-nightly-1800000000','price','4','tills',X'7B226F70656E223A00FF7D','digest-open',1800000000000020,1800000060000000,0,'RUNNING',0,NULL,'','');
CREATE TABLE firings (
    schedule text not null, due integer not null, last integer not null, count integer not null,
    decided_at integer not null, execution text not null, status text not null, why text not null,
    primary key (schedule, due)
) without rowid;
INSERT INTO "firings" VALUES('full',1800000000000004,1800000000000004,1,1800000000000034,'','REFUSED','no room');
INSERT INTO "firings" VALUES('hourly',1800000000000000,1800000000000000,1,1800000000000031,'cron-hourly-1800000000','FAILED','T: why');
INSERT INTO "firings" VALUES('lost',1800000000000000,1800000000000000,1,1800000000000032,'cron-lost-1800000000','RUNNING','');
INSERT INTO "firings" VALUES('nightly',1800000000000000,1800000000000000,1,1800000000000030,'cron-nightly-1800000000','RUNNING','');
INSERT INTO "firings" VALUES('often',1800000000000003,1800000000000009,4,1800000000000033,'','SKIPPED','missed');
CREATE TABLE journals (
    origin text primary key, own integer not null, upto integer not null
) without rowid;
INSERT INTO "journals" VALUES('front-0#0a1b2c3d4e5f',1,8);
INSERT INTO "journals" VALUES('front-1#f5e4d3c2b1a0',0,9);
CREATE TABLE lines (
    origin text not null, seq integer not null, kind text not null, call text, at integer,
    data blob not null, sum integer not null, primary key (origin, seq)
);
INSERT INTO "lines" VALUES('front-0#0a1b2c3d4e5f',1,'accepted','id-open',1800000000000060,X'9CA86163636570746564A769642D6F70656EA96E616D652D6F70656EA57072696365A134A574696C6C73C4046F70656EA664696765737401CF000665172898803CA6756E7361666502',2822658534);
INSERT INTO "lines" VALUES('front-0#0a1b2c3d4e5f',2,'intended','id-open',NULL,X'94A8696E74656E646564A769642D6F70656E01A8776F726B65722D31',2175748512);
INSERT INTO "lines" VALUES('front-0#0a1b2c3d4e5f',3,'accepted','id-gone',1800000000000061,X'9CA86163636570746564A769642D676F6E65A96E616D652D676F6E65A57072696365A134C0C400A664696765737402CF000665172898803DA47361666500',3289483382);
INSERT INTO "lines" VALUES('front-0#0a1b2c3d4e5f',4,'withdrawn','id-gone',NULL,X'92A977697468647261776EA769642D676F6E65',4268278835);
INSERT INTO "lines" VALUES('front-0#0a1b2c3d4e5f',7,'ended','id-open',NULL,X'97A5656E646564A769642D6F70656EA9535543434545444544CF0006651728988005C406726573756C74A0A0',3585039790);
INSERT INTO "lines" VALUES('front-0#0a1b2c3d4e5f',8,'purged',NULL,NULL,X'92A6707572676564CF0006651728987C18',4250370311);
INSERT INTO "lines" VALUES('front-1#f5e4d3c2b1a0',3,'accepted','id-far',1800000000000062,X'9CA86163636570746564A669642D666172A86E616D652D666172A57072696365A134A57472616465C403666172AA6469676573742D66617203CF000665172898803EA56B6579656401',429068023);
INSERT INTO "lines" VALUES('front-1#f5e4d3c2b1a0',5,'intended','id-far',NULL,X'94A8696E74656E646564A669642D66617202A8776F726B65722D32',2575979438);
INSERT INTO "lines" VALUES('front-1#f5e4d3c2b1a0',6,'ended','id-far',NULL,X'97A5656E646564A669642D666172A64641494C4544CF0006651728988007C4056572726F72A9556E68616E646C6564A76D657373616765',3726221163);
INSERT INTO "lines" VALUES('front-1#f5e4d3c2b1a0',8,'bad',NULL,NULL,X'92A977697468647261776EAA69642D64616D61676564',123);
CREATE TABLE marks (schedule text primary key, mark integer not null) without rowid;
INSERT INTO "marks" VALUES('full',1800000000000004);
INSERT INTO "marks" VALUES('hourly',1800000000000000);
INSERT INTO "marks" VALUES('lost',1800000000000000);
INSERT INTO "marks" VALUES('new',1800000000000002);
INSERT INTO "marks" VALUES('nightly',1800000000000000);
INSERT INTO "marks" VALUES('often',1800000000000009);
CREATE UNIQUE INDEX by_name on executions (function, name);
CREATE INDEX by_time on executions (function, accepted_at, id);
CREATE INDEX by_status on executions (status, ended_at);
CREATE INDEX lines_by_call on lines (call, origin);
CREATE INDEX lines_by_time on lines (origin, kind, at);
CREATE INDEX firings_by_execution on firings (execution);
CREATE INDEX firings_by_time on firings (decided_at);
COMMIT;
